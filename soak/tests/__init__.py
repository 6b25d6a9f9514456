"""Tests of the soak and its checks."""
