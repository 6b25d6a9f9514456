"""Published documents: schemas, versions in force, and their distribution."""

from oleanderpier.configuration.deltas import *  # noqa: F403
from oleanderpier.configuration.documents import *  # noqa: F403
from oleanderpier.configuration.gossip import *  # noqa: F403
from oleanderpier.configuration.messages import *  # noqa: F403
from oleanderpier.configuration.store import *  # noqa: F403
from oleanderpier.configuration.watch import *  # noqa: F403
from oleanderpier.configuration.watcher_selection import *  # noqa: F403
