"""The adapter to the users' platform: names, formats and calls.

It decides nothing. What it reads becomes the project's own types here, and
nowhere else is a name of the platform known.
"""
