"""Membership of the fleet, and failure detection of backend servers."""

from oleanderpier.membership.endpoints import *  # noqa: F403
from oleanderpier.membership.list_versions import *  # noqa: F403
from oleanderpier.membership.members import *  # noqa: F403
from oleanderpier.membership.messages import *  # noqa: F403
from oleanderpier.membership.probers import *  # noqa: F403
from oleanderpier.membership.server_messages import *  # noqa: F403
from oleanderpier.membership.server_table import *  # noqa: F403
from oleanderpier.membership.servers import *  # noqa: F403
