"""Checks a response as its caller receives it."""

import json
from typing import NamedTuple

from oleanderpier.relay.tests.harness import MESSAGES, REQUEST
from standins.generation import compose_response

__all__ = ["Event", "check_response", "parse_events"]


class Event(NamedTuple):
    """One event, without comments.

    Attributes:
        event_type: The ``event`` field; ``message`` if it is absent.
        event_id: The ``id`` field, ``REQUEST:OFFSET``.
        data: The decoded ``data`` field.
    """

    event_type: str
    event_id: str
    data: dict


def parse_events(data: bytes) -> list[Event]:
    """Return the complete events of a stream, in order."""
    events = []
    for block in data.decode().split("\n\n")[:-1]:
        lines = [line for line in block.split("\n") if not line.startswith(":")]
        if not lines:
            continue
        fields = dict(line.split(": ", 1) for line in lines)
        event_type, event_id = fields.get("event", "message"), fields.get("id", "")
        events.append(Event(event_type, event_id, json.loads(fields["data"])))
    return events


def check_response(data: bytes, tokens: int, hung: bool = False) -> str:
    """Return the verdict on a response.

    Args:
        data: The body that the caller received.
        tokens: Number of tokens expected.
        hung: Whether the caller gave up waiting for the end of the body.

    Returns:
        ``whole``, ``wrong`` (some event is not the expected one), ``hung``,
        ``cut`` (no last event) or ``failed <code>``.
    """
    events = parse_events(data)
    token_events = [event for event in events if event.event_type == "message"]
    expected = compose_response(MESSAGES, tokens)
    for offset, event in enumerate(token_events):
        if event.event_id != f"{REQUEST}:{offset}" or offset >= tokens:
            return "wrong"
        if event.data["text"] != expected[offset]:
            return "wrong"
    last = events[-1] if events else None
    if hung:
        return "hung"
    if last is not None and last.event_type == "failed":
        return f"failed {last.data['code']}"
    if last is None or last.event_type != "end":
        return "cut"
    whole = len(token_events) == tokens and last.event_id == f"{REQUEST}:{tokens}"
    return "whole" if whole and last.data["total"] == tokens else "wrong"
