"""Forwarding: carries requests to backend servers and whole answers back."""

from oleanderpier.forwarding.attempts import *  # noqa: F403
from oleanderpier.forwarding.events import *  # noqa: F403
from oleanderpier.forwarding.forwarder import *  # noqa: F403
from oleanderpier.forwarding.records import *  # noqa: F403
