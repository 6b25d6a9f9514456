"""Faults that can be injected into the stand-ins, and their effect on a stream."""

from collections.abc import Iterable, Iterator
from typing import Annotated, Literal, TypedDict

import msgspec

__all__ = ["EngineFaults", "ServiceFaults", "inject_event_faults"]

EventCount = Annotated[int, msgspec.Meta(ge=0)] | bool
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class EngineFaults(TypedDict, total=False):
    """Faults of the model engine; a fault whose key is absent is off.

    Attributes:
        late_s: Delay before each event in seconds; heartbeats are not delayed.
        crossed: An event of another request is sent before every n-th event.
        duplicate: Every n-th event is sent twice.
        reorder: Every n-th event is swapped with the event after it.
        skip: Every n-th event is omitted.
        short: The end event is sent n events early, with the full total.
        silent_after: The connections open when the fault is set send n more
            events and then nothing, heartbeats included; new connections work.
        refuse: New requests are answered with status 503.
        die_after: The connection is closed after n events of a stream.
        fencing: Whether an order with an outdated fence is refused.
        leaving: The load report says that the engine is leaving.
        times: Number of streams, from now on, that the faults apply to; all if
            absent. With ``silent_after`` this many new streams go silent too.
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
    """Faults of the plain service; a fault whose key is absent is off.

    Attributes:
        late_s: Delay between the execution and its response, in seconds.
        lose_answer: The call is executed, then its connection is closed.
        refuse: A call is answered with status 503 and not executed.
        silent: A call is executed and never answered.
        times: Number of calls, from now on, that the faults apply to; all if
            absent.
    """

    late_s: Seconds
    lose_answer: bool
    refuse: bool
    silent: bool
    times: EventCount


def inject_event_faults(
    events: Iterable[bytes], foreign: bytes, faults: EngineFaults
) -> Iterator[bytes]:
    """Yield the events of a stream with the faults applied.

    Only the faults that insert, repeat, swap or omit events are applied here.

    Args:
        events: The events of a stream without faults.
        foreign: An event of another request, inserted by ``crossed``.
        faults: The faults that apply to this stream.

    Yields:
        The events to send, in the order of sending.

    Examples:
        >>> list(inject_event_faults([b"0", b"1", b"2"], b"x", {"reorder": 2}))
        [b'0', b'2', b'1']
    """
    delayed: list[bytes] = []
    for position, event in enumerate(events, 1):
        if _is_nth(faults.get("crossed"), position):
            yield foreign
        if _is_nth(faults.get("skip"), position):
            continue
        if _is_nth(faults.get("reorder"), position) and not delayed:
            delayed.append(event)
            continue
        yield event
        if _is_nth(faults.get("duplicate"), position):
            yield event
        yield from delayed
        delayed.clear()
    yield from delayed


def _is_nth(every: int | None, position: int) -> bool:
    return bool(every) and position % every == 0
