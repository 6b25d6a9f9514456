"""Platform: the adapter to the users' platform, its names, formats and calls.

It translates between the platform's formats and the project's own types and
makes no decisions. No other folder contains a name of the platform.
"""
