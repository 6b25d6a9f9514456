"""HTTP clients and listeners."""

from oleanderpier.connections.bodies import *  # noqa: F403
from oleanderpier.connections.caller_connections import *  # noqa: F403
from oleanderpier.connections.caller_limits import *  # noqa: F403
from oleanderpier.connections.framing import *  # noqa: F403
from oleanderpier.connections.listeners import *  # noqa: F403
from oleanderpier.connections.listening import *  # noqa: F403
from oleanderpier.connections.rate_limits import *  # noqa: F403
from oleanderpier.connections.retry_after import *  # noqa: F403
from oleanderpier.connections.sessions import *  # noqa: F403
