"""Tests of an entry host's wiring."""
