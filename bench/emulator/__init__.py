"""An emulator of model engines and of a load, to weigh ways of choosing.

``python -m bench.emulator burst hot_key --policy present --policy naive`` runs the
load patterns of ``bench/emulator/patterns`` against a fleet of emulated engines and
prints a table; ``--plot FILE`` draws it over time. Time is simulated: a minute of
today's load takes seconds.
"""
