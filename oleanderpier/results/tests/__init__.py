"""Tests of results."""
