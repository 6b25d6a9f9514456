"""Randomized soak test: entry hosts run as processes and faults are injected."""
