"""Log lines of decisions that move, delay or refuse a request, as sentences."""

from collections.abc import Callable
from typing import Any

from oleanderpier.cli.logs import LogLine

__all__ = ["describe_decision", "label_decision"]


def describe_decision(line: LogLine) -> str | None:
    """Return a sentence on the decision that a log line has, None if it has none.

    Examples:
        >>> describe_decision(
        ...     {"event": "routing:cold", "server": "s1", "wait_s": 4.0, "age_s": 0.5}
        ... )
        'held back from s1, which is cold for 4.0 s more (as known 0.5 s before)'
    """
    describe = _DESCRIPTIONS.get(line["event"])
    return None if describe is None else describe(line) + _describe_inputs(line)


def label_decision(line: LogLine) -> str | None:
    """Return the kind of the decision that a log line has, None if it has none.

    A permit that was granted at once neither delays nor refuses the request.

    Examples:
        >>> label_decision({"event": "routing:evacuated", "decision": "moved"})
        'routing:evacuated moved'
    """
    if line["event"] not in _DESCRIPTIONS:
        return None
    decision = str(line.get("decision", "")).lower()
    if decision == "granted":
        return f"{line['event']} queued" if _get_number(line, "wait_s") else None
    return f"{line['event']} {decision}".rstrip()


def _describe_permit(line: LogLine) -> str:
    server, wait_s = _get_text(line, "server"), _get_number(line, "wait_s")
    decision = str(line.get("decision", "")).lower()
    if decision == "granted":
        return f"got a permit for {server} " + (
            f"after {wait_s} s" if wait_s else "at once"
        )
    reason = _PERMIT_REASONS.get(decision, f"the decision was {decision}")
    return f"got no permit for {server}: {reason}; room is expected in {wait_s} s"


def _describe_permit_refusal(line: LogLine) -> str:
    return f"refused, since no server has room for it; room in {line.get('wait_s')} s"


def _describe_evacuation(line: LogLine) -> str:
    server, domain = _get_text(line, "server"), _get_text(line, "domain")
    if line.get("decision") == "refused":
        return (
            f"refused, since only the evacuation of {domain} leaves it no server; "
            f"to come back in {line.get('wait_s')} s"
        )
    return f"moved from {server}, since its failure domain {domain} is evacuated"


def _describe_cold(line: LogLine) -> str:
    server = _get_text(line, "server")
    return f"held back from {server}, which is cold for {line.get('wait_s')} s more"


def _describe_prefill(line: LogLine) -> str:
    server, other = _get_text(line, "server"), line.get("to") or "another server"
    if line.get("reason") == "slow":
        reason = f"work takes {line.get('slow_factor')} times as long as usual there"
    else:
        reason = f"long prompts are read there for {line.get('remaining_s')} s more"
    return f"moved from {server} to {other}, since {reason}"


def _describe_inputs(line: LogLine) -> str:
    """Return the load that was known, and the age of what was known."""
    in_flight, age_s = line.get("in_flight"), line.get("age_s")
    parts = [] if in_flight is None else [f"{in_flight} in flight there"]
    if age_s is not None:
        parts.append(f"as known {age_s} s before")
    return f" ({', '.join(parts)})" if parts else ""


def _get_text(line: LogLine, field: str) -> Any:
    return line.get(field) or "a server"


def _get_number(line: LogLine, field: str) -> float:
    value = line.get(field)
    return value if isinstance(value, int | float) else 0.0


_PERMIT_REASONS = {
    "full": "as many requests run there as it can run",
    "prefilling": "long prompts were read there",
    "used_up": "its requests per second were used up",
    "wait_too_long": "the wait would have been too long",
}
_DESCRIPTIONS: dict[str, Callable[[LogLine], str]] = {
    "permits:decision": _describe_permit,
    "permits:refused": _describe_permit_refusal,
    "routing:evacuated": _describe_evacuation,
    "routing:cold": _describe_cold,
    "routing:prefill": _describe_prefill,
}
