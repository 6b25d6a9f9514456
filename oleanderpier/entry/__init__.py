"""Entry: the host that accepts callers' requests and forwards them to servers."""

from oleanderpier.entry.draining import *  # noqa: F403
from oleanderpier.entry.encoding import *  # noqa: F403
from oleanderpier.entry.metrics import *  # noqa: F403
from oleanderpier.entry.node import *  # noqa: F403
from oleanderpier.entry.settings import *  # noqa: F403
from oleanderpier.entry.values import *  # noqa: F403
