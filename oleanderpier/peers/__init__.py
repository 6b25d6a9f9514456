"""Peers of the fleet."""
