<<<<<<< .merge_file_sEX8by
"""Small stand-ins for what surrounds the fleet, for tests and the demo."""
=======
"""Small stand-ins for the servers that the fleet routes to."""
>>>>>>> .merge_file_ko4d3t
