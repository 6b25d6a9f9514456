"""Runs an entry host: ``python3 -m oleanderpier.platform``."""

import gc
import os

# Nothing that is imported is garbage; a tenth of the time to start is saved.
gc.disable()
# aiohttp loads every trusted certificate when it is imported, a third of the
# time to start; nothing here speaks TLS.
os.environ["SSL_CERT_FILE"] = os.devnull

from oleanderpier.platform.program import run  # noqa: E402

gc.freeze()
gc.enable()
run()
