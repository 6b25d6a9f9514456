"""Tests with whole processes, and the test runner of the CI."""
