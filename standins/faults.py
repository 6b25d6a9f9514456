"""Faults that a stand-in is told to show, and how they change a stream."""

from collections.abc import Iterable, Iterator
from typing import Annotated, Literal, TypedDict

import msgspec

__all__ = ["EngineFaults", "ServiceFaults", "inject_event_faults"]

EventCount = Annotated[int, msgspec.Meta(ge=0)] | bool
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class EngineFaults(TypedDict, total=False):
    """Faults of the model engine; an absent one is off.

    Attributes:
        late_s: Delay before each event; heartbeats go on.
        crossed: Before every n-th event comes one of another request.
        duplicate: Every n-th event is sent twice.
        reorder: Every n-th event changes places with the next one.
        skip: Every n-th event is left out.
        short: The end event comes n events early and gives the whole total.
        silent_after: The connections that are open now stop after n more
            events, heartbeats too; new connections work.
        refuse: New work is answered with 503.
        die_after: The connection is closed after n events of a stream.
        fencing: Whether an order with an old fence is refused.
        leaving: The load report says that the engine is leaving.
        times: How many streams are hit from now on; all if absent. With
            ``silent_after`` it hits that many new streams as well.
    """

    late_s: Seconds
    crossed: EventCount
    duplicate: EventCount
    reorder: EventCount
    skip: EventCount
    short: EventCount
    silent_after: EventCount
    refuse: bool
    die_after: EventCount
    fencing: Literal["honoured", "ignored"]
    leaving: bool
    times: EventCount


class ServiceFaults(TypedDict, total=False):
    """Faults of the plain service; an absent one is off.

    Attributes:
        late_s: Delay between the execution and its answer.
        lose_answer: The call is executed, then its connection is closed.
        refuse: A call is answered with 503 and not executed.
        silent: A call is executed and never answered.
        times: How many calls are hit from now on; all if absent.
    """

    late_s: Seconds
    lose_answer: bool
    refuse: bool
    silent: bool
    times: EventCount


def inject_event_faults(
    events: Iterable[bytes], foreign: bytes, faults: EngineFaults
) -> Iterator[bytes]:
    """Yield a stream's events as the faults change them.

    Args:
        events: The events as they should be sent.
        foreign: An event of another request.
        faults: The faults in force for the stream.

    Yields:
        The events to send.

    Examples:
        >>> list(inject_event_faults([b"0", b"1", b"2"], b"x", {"reorder": 2}))
        [b'0', b'2', b'1']
    """
    held: list[bytes] = []
    for position, event in enumerate(events, 1):
        if _is_nth(faults.get("crossed"), position):
            yield foreign
        if _is_nth(faults.get("skip"), position):
            continue
        if _is_nth(faults.get("reorder"), position) and not held:
            held.append(event)
            continue
        yield event
        if _is_nth(faults.get("duplicate"), position):
            yield event
        yield from held
        held.clear()
    yield from held


def _is_nth(every: int | None, position: int) -> bool:
    return bool(every) and position % every == 0
