"""Small stand-ins for the servers and the platform that the fleet meets."""
