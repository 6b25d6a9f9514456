"""End-to-end demonstration of the fleet with separate processes."""
