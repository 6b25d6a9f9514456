"""One attempt to stream a response from one engine."""

from functools import singledispatch
from typing import NamedTuple

import aiohttp
import msgspec

from oleanderpier.configuration import BackendServer
from oleanderpier.relay.callers import CallerStream
from oleanderpier.relay.connections import format_url
from oleanderpier.relay.events import EventSequence
from oleanderpier.relay.metrics import ResponseTimer
from oleanderpier.relay.watchdog import Phase, Step, StreamWatchdog

__all__ = [
    "GenerateBody",
    "StreamContext",
    "classify_error",
    "forward_events",
    "run_attempt",
]

REQUEST_HEADERS = {"Content-Type": "application/json"}


class GenerateBody(NamedTuple):
    """Body of ``POST /v1/generate``; the fields are sent under their names.

    Attributes:
        request: The request's id.
        chat: The chat's id.
        model: The model to generate the response with.
        messages: The messages of the chat, oldest first.
        offset: The first token to send; earlier ones were already received.
        max_tokens: Largest number of tokens of the whole response.
        priority: Priority at the engine; lower values run first.
    """

    request: str
    chat: str
    model: str
    messages: list[str]
    offset: int
    max_tokens: int
    priority: int


class StreamContext(NamedTuple):
    """State of a response that all its attempts share.

    Attributes:
        sequence: Checks and orders the events.
        caller: The caller's stream, to which events are written.
        watchdog: Interrupts the response when it makes no progress.
        timer: Records the latencies of the response.
    """

    sequence: EventSequence
    caller: CallerStream
    watchdog: StreamWatchdog
    timer: ResponseTimer


async def run_attempt(
    session: aiohttp.ClientSession,
    backend_server: BackendServer,
    body: GenerateBody,
    stream: StreamContext,
) -> Step:
    """Request a response from an engine and forward it until it ends or fails.

    The connection to the engine is closed in every case.

    Args:
        session: The client session to use.
        backend_server: The engine.
        body: The request to the engine.
        stream: The state of the response.

    Returns:
        How the attempt ended.
    """
    response = None
    stream.watchdog.phase = Phase.OPENING
    try:
        response = await session.post(
            format_url(backend_server, "/v1/generate"),
            data=msgspec.json.encode(body._asdict()),
            headers=REQUEST_HEADERS,
            allow_redirects=False,
        )
        if response.status != 200:
            return Step.REFUSED
        return await forward_events(response.content, stream)
    except (aiohttp.ClientError, OSError) as error:
        return classify_error(error)
    finally:
        if response is not None:
            _abort_connection(response)


async def forward_events(content: aiohttp.StreamReader, stream: StreamContext) -> Step:
    """Forward checked events to the caller until the stream ends or fails.

    Nothing is read from the engine while the caller's write buffer is full: the
    back-pressure of a slow caller affects only its own stream.

    Args:
        content: The body of the engine's HTTP response.
        stream: The state of the response.

    Returns:
        How the stream ended.

    Raises:
        aiohttp.ClientError: The connection to the engine failed.
    """
    sequence, caller, watchdog, timer = stream
    accept = sequence.accept
    read = content.readany
    write = caller.response.write
    reading, writing = Phase.READING, Phase.WRITING
    while True:
        watchdog.phase = reading
        data = await read()
        if not data:
            return Step.CUT
        watchdog.read_count += 1
        events = accept(data)
        if events:
            watchdog.phase = writing
            try:
                if not caller.head_sent:
                    await caller.start()
                await write(events)
            except ConnectionError:
                return Step.CALLER_LEFT
            timer.record_delivery()
        if sequence.ended:
            return Step.ENDED
        if sequence.fault is not None:
            return Step.DISORDERED


@singledispatch
def classify_error(error: Exception) -> Step:
    """Return how an attempt ended that raised this error.

    Errors while connecting mean that the engine was not reached; after any
    other error it may have received the request.
    """
    return Step.CUT


@classify_error.register
def _(error: aiohttp.ClientConnectorError) -> Step:
    return Step.UNREACHED


@classify_error.register
def _(error: aiohttp.ConnectionTimeoutError) -> Step:
    return Step.UNREACHED


def _abort_connection(response: aiohttp.ClientResponse) -> None:
    """Close a connection at once, even if the engine acknowledges no data."""
    connection = response.connection
    if connection is not None and connection.transport is not None:
        connection.transport.abort()
    response.close()
