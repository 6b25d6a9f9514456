"""Placement: selects the backend server that runs each request.

Backend servers are divided into pools. Each pool has one owner host, which
counts the requests in flight on every server of the pool and grants permits.
An entry host asks the owner for a permit, streams directly to the backend
server, and then releases the permit.
"""

from oleanderpier.placement.admission import *  # noqa: F403
from oleanderpier.placement.affinity import *  # noqa: F403
from oleanderpier.placement.client import *  # noqa: F403
from oleanderpier.placement.loads import *  # noqa: F403
from oleanderpier.placement.messages import *  # noqa: F403
from oleanderpier.placement.owners import *  # noqa: F403
from oleanderpier.placement.pending import *  # noqa: F403
from oleanderpier.placement.permits import *  # noqa: F403
from oleanderpier.placement.placement import *  # noqa: F403
from oleanderpier.placement.pools import *  # noqa: F403
from oleanderpier.placement.queues import *  # noqa: F403
from oleanderpier.placement.records import *  # noqa: F403
