"""Claims of keys: at most one process of the fleet sends the request of a key."""

from oleanderpier.claims.calls import *  # noqa: F403
from oleanderpier.claims.claims import *  # noqa: F403
from oleanderpier.claims.host_lists import *  # noqa: F403
from oleanderpier.claims.key_states import *  # noqa: F403
from oleanderpier.claims.limits import *  # noqa: F403
from oleanderpier.claims.messages import *  # noqa: F403
from oleanderpier.claims.witness_sets import *  # noqa: F403
