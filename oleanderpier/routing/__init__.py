"""Routing: selects the backend server of a request and decides on retries.

The package performs no input or output and reads the time from the timer
service only, so that tests can drive it by hand.
"""

from oleanderpier.routing.budget import *  # noqa: F403
from oleanderpier.routing.caches import *  # noqa: F403
from oleanderpier.routing.choice import *  # noqa: F403
from oleanderpier.routing.cold_starts import *  # noqa: F403
from oleanderpier.routing.copy_windows import *  # noqa: F403
from oleanderpier.routing.costs import *  # noqa: F403
from oleanderpier.routing.crashes import *  # noqa: F403
from oleanderpier.routing.eligibility import *  # noqa: F403
from oleanderpier.routing.evacuations import *  # noqa: F403
from oleanderpier.routing.health import *  # noqa: F403
from oleanderpier.routing.load_model import *  # noqa: F403
from oleanderpier.routing.permit_records import *  # noqa: F403
from oleanderpier.routing.poison import *  # noqa: F403
from oleanderpier.routing.prefill_choice import *  # noqa: F403
from oleanderpier.routing.prefills import *  # noqa: F403
from oleanderpier.routing.rate_limits import *  # noqa: F403
from oleanderpier.routing.records import *  # noqa: F403
from oleanderpier.routing.refusals import *  # noqa: F403
from oleanderpier.routing.regions import *  # noqa: F403
from oleanderpier.routing.requirements import *  # noqa: F403
from oleanderpier.routing.retries import *  # noqa: F403
from oleanderpier.routing.roster import *  # noqa: F403
from oleanderpier.routing.server_loads import *  # noqa: F403
from oleanderpier.routing.server_permits import *  # noqa: F403
from oleanderpier.routing.shares import *  # noqa: F403
from oleanderpier.routing.statements import *  # noqa: F403
from oleanderpier.routing.table import *  # noqa: F403
