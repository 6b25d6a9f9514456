"""One attempt to stream an answer from one engine."""

from functools import singledispatch
from typing import NamedTuple

import aiohttp
import msgspec

from oleanderpier.configuration import BackendServer
from oleanderpier.relay.callers import CallerStream
from oleanderpier.relay.connections import format_url
from oleanderpier.relay.events import EventSequence
from oleanderpier.relay.metrics import ResponseTimer
from oleanderpier.relay.watchdog import Phase, Step, StreamWatch

__all__ = ["GenerateBody", "Stream", "classify_error", "forward_events", "open_stream"]

HEADERS = {"Content-Type": "application/json"}


class GenerateBody(NamedTuple):
    """What an engine is asked to generate.

    Attributes:
        offset: The first token that is wanted.
        priority: Lower goes first.
    """

    request: str
    chat: str
    model: str
    messages: list[str]
    offset: int
    max_tokens: int
    priority: int


class Stream(NamedTuple):
    """The parts of an answer that attempts share."""

    sequence: EventSequence
    caller: CallerStream
    watch: StreamWatch
    times: ResponseTimer


async def open_stream(
    session: aiohttp.ClientSession,
    backend_server: BackendServer,
    body: GenerateBody,
    stream: Stream,
) -> Step:
    """Stream an answer from an engine until it ends or fails.

    Args:
        session: The client session to use.
        backend_server: The engine.
        body: What it is asked to generate.
        stream: Where the events go.

    Returns:
        How the attempt ended. The connection is closed in every case.
    """
    answer = None
    stream.watch.phase = Phase.OPENING
    try:
        answer = await session.post(
            format_url(backend_server, "/v1/generate"),
            data=msgspec.json.encode(body._asdict()),
            headers=HEADERS,
            allow_redirects=False,
        )
        if answer.status != 200:
            return Step.REFUSED
        return await forward_events(answer.content, stream)
    except (aiohttp.ClientError, OSError) as error:
        return classify_error(error)
    finally:
        if answer is not None:
            _abort(answer)


async def forward_events(content: aiohttp.StreamReader, stream: Stream) -> Step:
    """Forward checked events to the caller until the stream ends or fails.

    Nothing is read while the caller's connection is full, so that a slow
    caller slows down its own engine stream and nothing else.

    Args:
        content: The engine's stream.
        stream: Where the events go.

    Returns:
        How the stream ended.

    Raises:
        aiohttp.ClientError: The engine's connection broke.
    """
    sequence, caller, watch, times = stream
    accept = sequence.accept
    read = content.readany
    write = caller.response.write
    reading, writing = Phase.READING, Phase.WRITING
    while True:
        watch.phase = reading
        data = await read()
        if not data:
            return Step.CUT
        watch.reads += 1
        ready = accept(data)
        if ready:
            watch.phase = writing
            try:
                if not caller.ready:
                    await caller.begin()
                await write(ready)
            except ConnectionError:
                return Step.CALLER_LEFT
            times.record_delivery()
        if sequence.ended:
            return Step.ENDED
        if sequence.fault is not None:
            return Step.DISORDERED


@singledispatch
def classify_error(error: Exception) -> Step:
    """Return how an attempt ended that raised an error."""
    return Step.CUT


@classify_error.register
def _(error: aiohttp.ClientConnectorError) -> Step:
    return Step.UNREACHED


@classify_error.register
def _(error: aiohttp.ConnectionTimeoutError) -> Step:
    return Step.UNREACHED


def _abort(answer: aiohttp.ClientResponse) -> None:
    """Close a connection at once, also where nothing is acknowledged."""
    connection = answer.connection
    if connection is not None and connection.transport is not None:
        connection.transport.abort()
    answer.close()
