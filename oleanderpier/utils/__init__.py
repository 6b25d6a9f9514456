"""Utilities shared by all packages."""

from oleanderpier.utils.codec import *  # noqa: F403
from oleanderpier.utils.keys import *  # noqa: F403
from oleanderpier.utils.limits import *  # noqa: F403
from oleanderpier.utils.loops import *  # noqa: F403
from oleanderpier.utils.outbox import *  # noqa: F403
from oleanderpier.utils.ranking import *  # noqa: F403
from oleanderpier.utils.schema import *  # noqa: F403
from oleanderpier.utils.timers import *  # noqa: F403
