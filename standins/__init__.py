"""Stand-ins for the backend servers and the platform that the fleet depends on."""
