"""Tests of the replication of published values."""
