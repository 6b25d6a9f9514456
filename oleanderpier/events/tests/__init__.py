"""Tests of events."""
