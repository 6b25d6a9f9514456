"""Tests of what hosts tell each other."""
