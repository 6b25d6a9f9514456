"""Runs an entry host: ``python3 -m oleanderpier.platform``."""

import gc
import os

from oleanderpier.signals import hold_signals

hold_signals()
# Imports create no garbage; collections during them take a tenth of the start-up
# time.
gc.disable()
# aiohttp loads all trusted certificates when it is imported, which takes a third
# of the start-up time. This program does not use TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

from oleanderpier.platform.program import run  # noqa: E402

gc.freeze()
gc.enable()
run()
