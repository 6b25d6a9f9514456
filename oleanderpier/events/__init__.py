"""Events of the fleet."""
