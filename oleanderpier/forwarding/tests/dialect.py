"""A minimal wire format for the tests of forwarding."""

from multidict import CIMultiDict

from oleanderpier.forwarding import ResponseHead
from oleanderpier.routing import LoadStatement, Refusal

__all__ = ["MinimalDialect"]


class MinimalDialect:
    """A wire format with the headers that the forwarder acts on.

    ``Id``, ``Left`` and ``After`` of requests; ``Not-Run``, ``Signed``, ``Leaving``,
    ``Wait`` and ``Slow`` (the slow factor) of responses. ``Not-Run`` may name the
    reason.
    """

    def format_request(self, call, server, time_left_s, last_event_id, copy_source):
        """Return the headers for a server."""
        headers = CIMultiDict({"Id": call.identity, "Left": f"{time_left_s:.3f}"})
        if last_event_id is not None:
            headers["After"] = last_event_id
        return headers

    def read_response_head(self, call, status, headers) -> ResponseHead:
        """Return the decoded head of a response."""
        found = {key.decode().lower(): value.decode() for key, value in headers}
        valid = found.get("id") == call.identity and "content-encoding" not in found
        reason = found.get("not-run")
        refusals = {refusal.value: refusal for refusal in Refusal}
        return ResponseHead(
            status,
            [],
            reason is not None,
            valid,
            found.get("signed") == "yes",
            None if reason is None else refusals.get(reason, Refusal.BUSY),
            "leaving" in found,
            float(found["wait"]) if "wait" in found else None,
            load=LoadStatement(1, 0, 16, float(found["slow"]))
            if "slow" in found
            else None,
        )
