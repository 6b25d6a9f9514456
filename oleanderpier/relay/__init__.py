"""Relay: streams responses of backend servers to callers, complete and in order."""

from oleanderpier.relay.attempts import *  # noqa: F403
from oleanderpier.relay.callers import *  # noqa: F403
from oleanderpier.relay.calls import *  # noqa: F403
from oleanderpier.relay.connections import *  # noqa: F403
from oleanderpier.relay.events import *  # noqa: F403
from oleanderpier.relay.limits import *  # noqa: F403
from oleanderpier.relay.metrics import *  # noqa: F403
from oleanderpier.relay.records import *  # noqa: F403
from oleanderpier.relay.responses import *  # noqa: F403
from oleanderpier.relay.watchdog import *  # noqa: F403
