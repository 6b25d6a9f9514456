"""Membership of the fleet."""
