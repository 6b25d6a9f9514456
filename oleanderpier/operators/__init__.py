"""The operators' read-only HTTP interface: response types, server and client."""

from oleanderpier.operators.client import *  # noqa: F403
from oleanderpier.operators.responses import *  # noqa: F403
from oleanderpier.operators.server import *  # noqa: F403
