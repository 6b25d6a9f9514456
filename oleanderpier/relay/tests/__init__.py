"""Tests of relay."""
