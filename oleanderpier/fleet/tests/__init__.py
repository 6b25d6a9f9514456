"""Tests of the reports between hosts."""
