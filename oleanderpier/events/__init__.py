"""The time line: typed events, kept by each process and merged by cause."""

from oleanderpier.events.buffer import *  # noqa: F403
from oleanderpier.events.clock import *  # noqa: F403
from oleanderpier.events.merge import *  # noqa: F403
from oleanderpier.events.metrics import *  # noqa: F403
from oleanderpier.events.writer import *  # noqa: F403
