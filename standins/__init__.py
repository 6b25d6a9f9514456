"""Small stand-ins for the servers that the fleet routes to."""
