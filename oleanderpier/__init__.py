"""A router fleet for returning chats."""

from oleanderpier.configuration import *  # noqa: F403
from oleanderpier.exception import *  # noqa: F403
from oleanderpier.results import *  # noqa: F403
from oleanderpier.utils import *  # noqa: F403
