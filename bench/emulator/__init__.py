"""Discrete-event simulation of model engines under load, to compare routing policies.

``python -m bench.emulator burst hot_key --policy present --policy naive`` runs two
of the load patterns in ``bench/emulator/patterns`` against a fleet of simulated
engines and prints a table; ``--plot FILE`` draws the on-time ratio over time. Time is
simulated: one minute of load takes a few seconds.
"""
