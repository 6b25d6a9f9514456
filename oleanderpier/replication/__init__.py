"""Replication: what the platform publishes, on every host, newest revision first."""

from oleanderpier.replication.messages import *  # noqa: F403
from oleanderpier.replication.replica import *  # noqa: F403
from oleanderpier.replication.sharing import *  # noqa: F403
from oleanderpier.replication.watcher import *  # noqa: F403
