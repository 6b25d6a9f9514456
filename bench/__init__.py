"""Benchmarks, each runnable as a module."""
