"""Membership of the fleet, and failure detection of backend servers.

Names of the failure detection of backend servers are imported on first use: entry hosts
of the platform learn of servers from its store, and start sooner without them.
"""

from importlib import import_module
from typing import Any

from oleanderpier.membership.endpoints import *  # noqa: F403
from oleanderpier.membership.members import *  # noqa: F403
from oleanderpier.membership.messages import *  # noqa: F403

_NAMES_BY_MODULE = {
    "list_versions": ("ListVersions",),
    "probers": ("PROBER_COUNT", "ProbeAssignment", "choose_probers"),
    "server_messages": (
        "ServerProbeRequest",
        "ServerQuery",
        "ServerRecord",
        "ServerRecords",
        "ServerState",
        "ServerSummary",
    ),
    "server_table": ("ServerTable", "UsableServer"),
    "servers": ("BackendServers", "Outcome"),
}
_MODULE_OF_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}


def __getattr__(name: str) -> Any:
    """Import a name of the failure detection of backend servers."""
    module = _MODULE_OF_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
