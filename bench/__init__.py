"""Measurements, as ratios to a baseline of the same run."""
