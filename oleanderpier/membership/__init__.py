"""Membership of the fleet."""

from oleanderpier.membership.adoptions import *  # noqa: F403
from oleanderpier.membership.members import *  # noqa: F403
from oleanderpier.membership.messages import *  # noqa: F403
