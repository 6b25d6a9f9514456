"""The settings of one process, read from one JSON file."""

from oleanderpier.settings.files import *  # noqa: F403
from oleanderpier.settings.rows import *  # noqa: F403
from oleanderpier.settings.schema import *  # noqa: F403
