"""Relay of the fleet."""
