"""Published documents: their schemas, and which version is in force."""

from oleanderpier.configuration.documents import *  # noqa: F403
from oleanderpier.configuration.store import *  # noqa: F403
