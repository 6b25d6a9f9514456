"""Placement: which backend server runs a request, decided in one place a pool.

Each pool of backend servers has one owner host, which counts exactly what is
in flight there. An entry host asks the owner for a permit, streams to the
backend server itself, and releases the permit.
"""

from oleanderpier.placement.admission import *  # noqa: F403
from oleanderpier.placement.affinity import *  # noqa: F403
from oleanderpier.placement.client import *  # noqa: F403
from oleanderpier.placement.ledger import *  # noqa: F403
from oleanderpier.placement.loads import *  # noqa: F403
from oleanderpier.placement.messages import *  # noqa: F403
from oleanderpier.placement.owners import *  # noqa: F403
from oleanderpier.placement.pending import *  # noqa: F403
from oleanderpier.placement.placement import *  # noqa: F403
from oleanderpier.placement.pools import *  # noqa: F403
from oleanderpier.placement.queues import *  # noqa: F403
from oleanderpier.placement.records import *  # noqa: F403
