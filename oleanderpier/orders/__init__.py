"""Orders to engines: one issuer at a time, with increasing fencing tokens."""

from oleanderpier.orders.budget import *  # noqa: F403
from oleanderpier.orders.engines import *  # noqa: F403
from oleanderpier.orders.issuer import *  # noqa: F403
from oleanderpier.orders.lease import *  # noqa: F403
from oleanderpier.orders.leases import *  # noqa: F403
from oleanderpier.orders.limits import *  # noqa: F403
from oleanderpier.orders.messages import *  # noqa: F403
from oleanderpier.orders.witness import *  # noqa: F403
