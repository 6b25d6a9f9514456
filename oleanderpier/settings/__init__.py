"""Settings of the fleet."""
