"""Runs an entry host: ``python3 -m oleanderpier.platform``."""

import gc
import os

# Imports make no garbage; collecting while importing costs a tenth of the start.
gc.disable()
# aiohttp loads every trusted certificate when it is imported, a third of the
# time to start; nothing here speaks TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

from oleanderpier.platform.program import run  # noqa: E402

gc.freeze()
gc.enable()
run()
