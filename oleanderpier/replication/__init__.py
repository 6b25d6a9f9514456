"""Replication: a copy of the values that the platform publishes, on every host."""

from oleanderpier.replication.messages import *  # noqa: F403
from oleanderpier.replication.outages import *  # noqa: F403
from oleanderpier.replication.positions import *  # noqa: F403
from oleanderpier.replication.replica import *  # noqa: F403
from oleanderpier.replication.sync import *  # noqa: F403
from oleanderpier.replication.watcher import *  # noqa: F403
