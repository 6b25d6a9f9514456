"""Judges an answer as a caller sees it."""

import json
from typing import NamedTuple

from oleanderpier.relay.tests.servers import MESSAGES, REQUEST
from standins.generation import compose_response

__all__ = ["Event", "judge_answer", "parse_events"]


class Event(NamedTuple):
    """One event, with comments left out."""

    kind: str
    identity: str
    data: dict


def parse_events(data: bytes) -> list[Event]:
    """Return the whole events of a stream, in order."""
    events = []
    for block in data.decode().split("\n\n")[:-1]:
        lines = [line for line in block.split("\n") if not line.startswith(":")]
        if not lines:
            continue
        fields = dict(line.split(": ", 1) for line in lines)
        kind, identity = fields.get("event", "message"), fields.get("id", "")
        events.append(Event(kind, identity, json.loads(fields["data"])))
    return events


def judge_answer(data: bytes, tokens: int, hung: bool = False) -> str:
    """Return ``whole``, ``wrong``, ``hung``, ``cut`` or ``failed <code>``."""
    events = parse_events(data)
    texts = [event for event in events if event.kind == "message"]
    expected = compose_response(MESSAGES, tokens)
    for offset, event in enumerate(texts):
        if event.identity != f"{REQUEST}:{offset}" or offset >= tokens:
            return "wrong"
        if event.data["text"] != expected[offset]:
            return "wrong"
    last = events[-1] if events else None
    if hung:
        return "hung"
    if last is not None and last.kind == "failed":
        return f"failed {last.data['code']}"
    if last is None or last.kind != "end":
        return "cut"
    whole = len(texts) == tokens and last.identity == f"{REQUEST}:{tokens}"
    return "whole" if whole and last.data["total"] == tokens else "wrong"
