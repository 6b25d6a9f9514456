"""Tests of replicated values."""
