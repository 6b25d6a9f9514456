"""An entry host: routing, forwarding, replication and fleet put together."""

from oleanderpier.entry.metrics import *  # noqa: F403
from oleanderpier.entry.node import *  # noqa: F403
from oleanderpier.entry.settings import *  # noqa: F403
from oleanderpier.entry.values import *  # noqa: F403
