"""A router fleet for returning chats.

The root re-exports the aggregates and the values that they exchange with a
daemon; each package exports the rest of its own.
"""

from oleanderpier.claims import Claims, HostLists, run_call
from oleanderpier.configuration import (
    Documents,
    Published,
    Spread,
    WatchDuty,
    check_document,
)
from oleanderpier.events import Clock, Event, Ring, merge_events
from oleanderpier.exception import *  # noqa: F403
from oleanderpier.membership import BackendServers, Members
from oleanderpier.peers import Mesh
from oleanderpier.placement import Placement
from oleanderpier.relay import Relay, relay_answer
from oleanderpier.results import *  # noqa: F403
from oleanderpier.settings import Settings, read_settings
from oleanderpier.utils import *  # noqa: F403
