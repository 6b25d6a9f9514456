"""HTTP client for requests to backend servers and to the platform."""

from oleanderpier.connections.bodies import *  # noqa: F403
from oleanderpier.connections.framing import *  # noqa: F403
from oleanderpier.connections.listening import *  # noqa: F403
from oleanderpier.connections.rate_limits import *  # noqa: F403
from oleanderpier.connections.retry_after import *  # noqa: F403
from oleanderpier.connections.sessions import *  # noqa: F403
