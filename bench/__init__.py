"""Benchmarks; ``python -m bench`` runs those that have regression bounds."""
