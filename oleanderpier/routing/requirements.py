"""What a request requires of a server, and the server that was chosen for it."""

from typing import NamedTuple

from oleanderpier.routing.costs import ServerCost
from oleanderpier.routing.eligibility import EvacuatedServer
from oleanderpier.routing.load_model import ServiceStats
from oleanderpier.routing.records import PromptPrefix, ServerEntry
from oleanderpier.routing.roster import RegistrationChange
from oleanderpier.routing.statements import LimitStatement

__all__ = ["Choice", "LeftServer", "ServerQuery"]


class ServerQuery(NamedTuple):
    """What a request requires of a server.

    Attributes:
        service: The name of the service.
        prefixes: The prefixes of its prompt that other requests share, from the
            shortest to the longest; empty if there are none.
        regions: The only regions that it may reach, None if all.
        prompt_tokens: The tokens of its whole prompt, 0 if unknown.
        target_s: Its latency target in seconds, 0 if unknown.
    """

    service: str
    prefixes: tuple[PromptPrefix, ...] = ()
    regions: frozenset[str] | None = None
    prompt_tokens: int = 0
    target_s: float = 0.0

    @property
    def cache_key(self) -> str:
        """The key of the longest shared prefix, empty if there is none."""
        return self.prefixes[-1].key if self.prefixes else ""

    @property
    def shared_tokens(self) -> int:
        """The tokens of the longest shared prefix."""
        return self.prefixes[-1].tokens if self.prefixes else 0

    @property
    def total_tokens(self) -> int:
        """The tokens of the whole prompt, at least the shared ones."""
        shared_tokens = self.shared_tokens
        if self.prompt_tokens > shared_tokens:
            return self.prompt_tokens
        return shared_tokens


class LeftServer(NamedTuple):
    """A server that a request would have had, if it were not slow or reading a prompt.

    Attributes:
        server: The server.
        remaining_s: For how long it is expected to read long prompts, 0 if it does not.
        slow_factor: How long work takes on it, as a multiple of the usual time.
        age_s: Seconds since this host learned of the prompts, or of the speed.
    """

    server: ServerEntry
    remaining_s: float
    slow_factor: float
    age_s: float


class Choice(NamedTuple):
    """The server that was chosen, and the reason for the log.

    Attributes:
        server: The server.
        reason: ``cached`` (it has the longest shared prefix cached), ``hashed`` (no
            server has), ``spilled`` (the servers that have it are over the load
            limit or get no requests), ``least_loaded`` (there is no shared prefix, or
            all servers are over the limit) or ``last_resort`` (no healthy server is
            left to try).
        load: Requests in flight at it, over all hosts, as known to this host.
        stats: The statistics of the service that the choice used.
        copy_source: A server that has a longer prefix cached, from which the chosen
            server can copy it; None if there is none.
        own_load: The requests of this host in ``load``.
        load_age_s: Mean age of the other hosts' requests in ``load``, in seconds.
        cache_age_s: Seconds since the chosen server was last sent the longest
            shared prefix, None if never.
        server_state: The last change of the server's registration.
        server_state_age_s: Seconds since then.
        limit: The limit that the server names, None without one.
        evacuated: A server that has the longest shared prefix cached, and is left out
            because its failure domain is evacuated; None if there is none.
        uncached_tokens: The tokens of the prompt that the server has neither cached nor
            copies; 0 if the service is neither uneven nor under permits.
        cost: What the request costs at the server; None if the service is not under
            permits.
        left: The server that it leaves because of a long prompt there, or because the
            server is slow; None if there is none.
    """

    server: ServerEntry
    reason: str
    load: int
    stats: ServiceStats
    copy_source: ServerEntry | None = None
    own_load: int = 0
    load_age_s: float = 0.0
    cache_age_s: float | None = None
    server_state: RegistrationChange = RegistrationChange.JOINED
    server_state_age_s: float = 0.0
    limit: LimitStatement | None = None
    evacuated: EvacuatedServer | None = None
    uncached_tokens: int = 0
    cost: ServerCost | None = None
    left: LeftServer | None = None
