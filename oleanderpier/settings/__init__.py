"""Settings of one process, read from a JSON file."""

from oleanderpier.settings.files import *  # noqa: F403
from oleanderpier.settings.rows import *  # noqa: F403
from oleanderpier.settings.schema import *  # noqa: F403
