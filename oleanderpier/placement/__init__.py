"""Placement of the fleet."""
