"""Tests of utils."""
