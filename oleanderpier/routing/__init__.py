"""Routing: which backend server runs a request, and whether one may try again.

Nothing here does input or output; time comes from the timer service.
"""

from oleanderpier.routing.budget import *  # noqa: F403
from oleanderpier.routing.caches import *  # noqa: F403
from oleanderpier.routing.choice import *  # noqa: F403
from oleanderpier.routing.health import *  # noqa: F403
from oleanderpier.routing.records import *  # noqa: F403
from oleanderpier.routing.retries import *  # noqa: F403
from oleanderpier.routing.roster import *  # noqa: F403
from oleanderpier.routing.table import *  # noqa: F403
