"""Fleet: the reports that hosts send each other several times a second."""

from oleanderpier.fleet.loads import *  # noqa: F403
from oleanderpier.fleet.messages import *  # noqa: F403
from oleanderpier.fleet.view import *  # noqa: F403
