"""Claims of the fleet: at most one process may send a key."""

from oleanderpier.claims.calls import *  # noqa: F403
from oleanderpier.claims.claims import *  # noqa: F403
from oleanderpier.claims.entries import *  # noqa: F403
from oleanderpier.claims.history import *  # noqa: F403
from oleanderpier.claims.limits import *  # noqa: F403
from oleanderpier.claims.lists import *  # noqa: F403
from oleanderpier.claims.messages import *  # noqa: F403
