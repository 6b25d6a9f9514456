"""Forwarding: sends requests to backend servers and returns complete responses."""

from oleanderpier.forwarding.activity import *  # noqa: F403
from oleanderpier.forwarding.admission import *  # noqa: F403
from oleanderpier.forwarding.attempts import *  # noqa: F403
from oleanderpier.forwarding.callers import *  # noqa: F403
from oleanderpier.forwarding.crash_guard import *  # noqa: F403
from oleanderpier.forwarding.events import *  # noqa: F403
from oleanderpier.forwarding.forwarder import *  # noqa: F403
from oleanderpier.forwarding.hedging import *  # noqa: F403
from oleanderpier.forwarding.permits import *  # noqa: F403
from oleanderpier.forwarding.records import *  # noqa: F403
from oleanderpier.forwarding.request_forwarding import *  # noqa: F403
from oleanderpier.forwarding.request_keys import *  # noqa: F403
from oleanderpier.forwarding.resources import *  # noqa: F403
from oleanderpier.forwarding.selection import *  # noqa: F403
from oleanderpier.forwarding.statements import *  # noqa: F403
from oleanderpier.forwarding.survivors import *  # noqa: F403
