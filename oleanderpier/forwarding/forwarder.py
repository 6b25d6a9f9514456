"""Forwards requests to backend servers."""

from oleanderpier.forwarding.records import Call, Caller, RequestOutcome
from oleanderpier.forwarding.request_forwarding import RequestForwarding
from oleanderpier.forwarding.resources import ForwardingResources

__all__ = ["Forwarder"]


class Forwarder(ForwardingResources):
    """Forwards callers' requests; takes the arguments of ``ForwardingResources``."""

    async def forward(self, call: Call, caller: Caller) -> RequestOutcome:
        """Forward a request until the caller has a response or a refusal.

        Args:
            call: The request.
            caller: Receives the response, or the refusal.

        Returns:
            The outcome, for logs and metrics.
        """
        return await RequestForwarding(self, call, caller).run()
