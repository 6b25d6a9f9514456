"""Applies what the platform publishes: routes, evacuations and server entries."""

from collections.abc import Callable

from eliot import log_message

from oleanderpier.entry.encoding import decode_server, decode_table
from oleanderpier.replication import (
    Change,
    OutageDetector,
    Replica,
    ReplicaSummary,
    get_era,
    get_revision,
)
from oleanderpier.routing import (
    ColdServers,
    Evacuations,
    Roster,
    RouteIndex,
    ServiceEntry,
)

__all__ = [
    "CONFIGURATION",
    "CONFIGURATION_KEY",
    "EVACUATION_KEY_PREFIX",
    "SERVERS",
    "PublishedValues",
]

CONFIGURATION = "configuration"
SERVERS = "servers"
CONFIGURATION_KEY = "routes"
# Followed by the name of a failure domain. Such a key has an empty value: hosts of
# earlier builds retain other values of this key space over a deletion.
EVACUATION_KEY_PREFIX = "evacuate/"
# In reports, the name of an evacuation that the store has lost and a host retains. Its
# summary has the remaining time in place of an age.
RETAINED_PREFIX = "evacuated:"


class PublishedValues:
    """Applies the changes of the replicas to the parts of a host.

    Args:
        replicas: The replicas of this host, by key space.
        roster: The backend servers by service.
        cold_servers: The servers that are cold.
        evacuations: The evacuated failure domains.
        outages: Outages of the platform, as calls to it show them.
        notify_configuration: Called after each change of the configuration.
        update_services: Called with the services whose cold servers have limits.

    Attributes:
        route_index: The routes in force, None before the first configuration.
    """

    def __init__(
        self,
        replicas: dict[str, Replica],
        roster: Roster,
        cold_servers: ColdServers,
        evacuations: Evacuations,
        outages: OutageDetector,
        notify_configuration: Callable[[], None],
        update_services: Callable[[tuple[ServiceEntry, ...]], None],
    ) -> None:
        self.route_index: RouteIndex | None = None
        self._replicas = replicas
        self._roster = roster
        self._cold_servers = cold_servers
        self._evacuations = evacuations
        self._outages = outages
        self._notify_configuration = notify_configuration
        self._update_services = update_services
        replicas[CONFIGURATION].subscribe(self._apply_configuration)
        replicas[SERVERS].subscribe(self._apply_servers)

    def summarize(self) -> dict[str, ReplicaSummary]:
        """Return the evacuations that this host retains, by names of their own.

        Hosts of an earlier version skip the names.
        """
        return {
            RETAINED_PREFIX + domain: ReplicaSummary(0, 0, remaining_s)
            for domain, remaining_s in self._evacuations.list_retained().items()
        }

    def receive_summaries(
        self, host: str, summaries: dict[str, ReplicaSummary]
    ) -> None:
        """Take over the evacuations that another host retains."""
        for name, summary in summaries.items():
            if name.startswith(RETAINED_PREFIX):
                domain = name.removeprefix(RETAINED_PREFIX)
                self._evacuations.adopt_retained(domain, summary.age_s, host)

    def _apply_configuration(self, change: Change) -> None:
        as_of = self._replicas[CONFIGURATION].as_of
        is_return = change.after > 0 and get_era(change.after) < get_era(as_of)
        for item in change.items:
            if item.key.startswith(EVACUATION_KEY_PREFIX):
                domain = item.key.removeprefix(EVACUATION_KEY_PREFIX)
                self._apply_evacuation(domain, item.value is not None, is_return)
                continue
            if item.key != CONFIGURATION_KEY or not item.value:
                continue
            table = decode_table(item.value)
            self.route_index = RouteIndex(table)
            self._cold_servers.update_services(table.services)
            self._update_services(table.services)
            log_message(
                "node:configuration",
                version=table.version,
                era=get_era(item.revision),
                revision=get_revision(item.revision),
                routes=len(table.routes),
                source=change.source,
            )
        self._notify_configuration()

    def _apply_evacuation(self, domain: str, active: bool, is_return: bool) -> None:
        """Apply the evacuation of a failure domain, or its end.

        Args:
            domain: The failure domain.
            active: Whether the store has the key.
            is_return: Whether the store has returned from an older copy.
        """
        if is_return and not active:
            self._evacuations.retain(domain)
        else:
            # An evacuation that the copy has is older than it seems.
            self._evacuations.update(domain, active, is_new=not is_return)

    def _apply_servers(self, change: Change) -> None:
        self._outages.check_age()
        for item in change.items:
            entry = decode_server(item.value) if item.value else None
            self._cold_servers.update_entry(item.key, entry)
            self._roster.update_entry(item.key, entry)
