"""Small stand-ins for what surrounds the fleet, for tests and the demo."""
