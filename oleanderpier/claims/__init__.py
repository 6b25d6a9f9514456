"""Claims of the fleet."""
