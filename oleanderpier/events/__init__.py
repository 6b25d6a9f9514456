"""The time line: typed events of each process, merged in causal order."""

from oleanderpier.events.buffer import *  # noqa: F403
from oleanderpier.events.clock import *  # noqa: F403
from oleanderpier.events.merge import *  # noqa: F403
from oleanderpier.events.metrics import *  # noqa: F403
from oleanderpier.events.writer import *  # noqa: F403
