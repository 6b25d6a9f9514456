"""The wire format of requests and responses: header names and their values."""

import math
import time
from collections.abc import Callable
from email.utils import parsedate_to_datetime

from eliot import log_message
from multidict import CIMultiDict

from oleanderpier.connections import (
    MAX_RETRY_AFTER_S,
    parse_rate_limit,
    parse_retry_after,
)
from oleanderpier.forwarding import FINAL_STATUSES, Call, ResponseHead
from oleanderpier.routing import LoadStatement, PromptPart, Refusal, ServerEntry

__all__ = [
    "CREDENTIAL_HEADER",
    "DEADLINE_MS_HEADER",
    "PROMPT_HEADER",
    "REQUEST_ID_HEADER",
    "RESERVED_HEADERS",
    "RESUME_AFTER_HEADER",
    "ServerDialect",
    "filter_headers",
    "read_prompt",
]

REQUEST_ID_HEADER = "Request-Id"
RESUME_AFTER_HEADER = "Last-Event-Id"
# The time limit of the caller, in milliseconds.
DEADLINE_MS_HEADER = "Request-Deadline-Ms"
# An API key, which identifies the workspace.
CREDENTIAL_HEADER = "Credential"
# The parts of the prompt, a comma-separated list of ID:TOKENS.
PROMPT_HEADER = "Prompt-Prefix"

# The id of the only server that may run the request.
EXPECTED_SERVER_HEADER = "Expect-Instance"
# The name of the workspace that the API key belongs to.
WORKSPACE_HEADER = "Tenant-Name"
# 0 to ``MAX_URGENCY``; 0 is the most urgent.
URGENCY_HEADER = "Request-Urgency"
MAX_URGENCY = 9
# The address of the server to copy cached prompt parts from, IP:PORT.
COPY_SOURCE_HEADER = "Kv-Fetch"
# Set by a server on a response that it vouches for.
SIGNATURE_HEADER = "response-signature"
# Set by a server that has not run the request.
NOT_RUN_HEADER = "not-executed"
# Set by a server that leaves, in all its responses.
LEAVING_HEADER = "server-leaving"
LEAVING_VALUE = "1"
RETRY_AFTER_HEADER = "retry-after"
# Requests per second that a server takes from all hosts together, in each response for
# as long as the limit holds.
LIMIT_HEADER = "server-limit"
# Running requests, waiting requests, slots and optionally the time that work takes now,
# in percent of the usual time, separated by commas.
LOAD_HEADER = "server-load"
LOAD_COUNTS = (3, 4)
USUAL_SPEED = 100
# Returned by a server that is not the expected one; it has not run the request.
MISDIRECTED_STATUS = 421
_REFUSALS = {
    429: Refusal.RATE_LIMITED,
    503: Refusal.BUSY,
    MISDIRECTED_STATUS: Refusal.MISDIRECTED,
}
# Statuses with which a server may say for how long it wants no requests.
WAIT_STATUSES = frozenset({429, 503})
# Statuses that mean that the request was not processed. Such a response is never
# taken as the request's result.
NOT_PROCESSED_STATUSES = frozenset({408, 429, 503})

# Hop-by-hop headers, which apply to one connection only.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Headers of callers that are not forwarded: only the router may set them, or it
# replaces them.
RESERVED_HEADERS = frozenset(
    {
        "content-length",
        "credential",
        "expect",
        "expect-instance",
        "expect-version",
        "kv-backup",
        "kv-fetch",
        "kv-from",
        "kv-hold",
        "last-event-id",
        "pin-ms",
        "request-deadline-ms",
        "request-urgency",
        "tenant-name",
    }
)
# Not allowed in the value of a header, but HTTP clients accept them; a space may stand
# for each (RFC 9110, section 5.5).
CONTROL_CHARACTERS = dict.fromkeys((*range(0x09), *range(0x0A, 0x20), 0x7F), " ")
# Numbers of more digits in a header are malformed.
MAX_COUNT_DIGITS = 12
# Headers of servers' responses that the HTTP server sets anew.
DROPPED_RESPONSE_HEADERS = frozenset({"content-length", "date", "server"})


def filter_headers(headers, dropped: frozenset[str]) -> list[tuple[str, str]]:
    """Return the headers to forward, in order.

    Hop-by-hop headers and those named by ``Connection`` are not forwarded.

    Args:
        headers: Pairs of name and value.
        dropped: Further names not to forward, in lower case.
    """
    pairs = list(headers)
    connection_options = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    excluded = (
        HOP_HEADERS
        | dropped
        | (connection_options - {REQUEST_ID_HEADER.lower(), "host"})
    )
    return [(key, value) for key, value in pairs if key.lower() not in excluded]


def read_prompt(value: str | None) -> tuple[PromptPart, ...]:
    """Parse the parts of a prompt; return none if the header is malformed.

    Examples:
        >>> read_prompt("5c1e07a2:800,91bd3f06:410")[1]
        PromptPart(identity='91bd3f06', tokens=410)
    """
    parts = []
    for text in (value or "").split(","):
        identity, _, tokens = text.strip().partition(":")
        if not (identity and identity.isascii()) or not _is_count(tokens):
            return ()
        parts.append(PromptPart(identity, int(tokens)))
    return tuple(parts)


def _is_count(text: str) -> bool:
    """Return whether a text is a whole number of a usual size."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS


class ServerDialect:
    """Formats requests to servers and parses the heads of their responses.

    Args:
        get_unix_s: Returns the time of day in Unix seconds, for HTTP dates.
    """

    def __init__(self, get_unix_s: Callable[[], float] = time.time) -> None:
        self._get_unix_s = get_unix_s

    def format_request(
        self,
        call: Call,
        server: ServerEntry,
        time_left_s: float,
        last_event_id: str | None,
        copy_source: ServerEntry | None,
    ) -> CIMultiDict[str]:
        """Return the headers of a request; see ``Dialect.format_request``."""
        headers = CIMultiDict(call.headers)
        headers[DEADLINE_MS_HEADER] = str(max(1, int(time_left_s * 1000)))
        headers[EXPECTED_SERVER_HEADER] = server.identity
        priority = call.route.priority
        if call.workspace is not None:
            headers[WORKSPACE_HEADER] = call.workspace.name
            if call.workspace.priority is not None:
                priority = call.workspace.priority
        if call.route.sticky:
            headers[URGENCY_HEADER] = str(max(0, min(MAX_URGENCY, priority)))
        if copy_source is not None:
            headers[COPY_SOURCE_HEADER] = copy_source.address
        if last_event_id is not None:
            headers[RESUME_AFTER_HEADER] = last_event_id
        return headers

    def read_response_head(
        self, call: Call, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Parse the head of a response."""
        pairs = [
            (key.decode("latin-1"), _decode_header_value(value))
            for key, value in headers
        ]
        values_by_name = {key.lower(): value for key, value in pairs}
        misdirected = status == MISDIRECTED_STATUS
        identity = values_by_name.get(REQUEST_ID_HEADER.lower())
        # Servers echo the id; a response to a request without one has none.
        is_own = (identity or "") == call.identity
        is_final = status in FINAL_STATUSES
        says_not_run = NOT_RUN_HEADER in values_by_name or misdirected
        not_run = is_own and is_final and says_not_run
        # What a response to another request says may be of another server.
        states_own = is_own or identity is None
        is_meant = is_own and not misdirected
        is_unencoded = values_by_name.get("content-encoding", "identity") == "identity"
        is_result = is_final and status not in NOT_PROCESSED_STATUSES
        return ResponseHead(
            status=status,
            headers=filter_headers(pairs, DROPPED_RESPONSE_HEADERS),
            not_run=not_run,
            valid=is_own and is_unencoded and is_result,
            signed=SIGNATURE_HEADER in values_by_name,
            refusal=_REFUSALS.get(status, Refusal.OTHER) if not_run else None,
            says_leaving=states_own and _read_leaving(values_by_name),
            wait_s=self._read_wait_s(status, pairs) if states_own else None,
            limit_per_s=_read_limit(pairs, values_by_name) if is_meant else None,
            load=_read_load(values_by_name) if is_meant else None,
        )

    def _read_wait_s(self, status: int, pairs: list[tuple[str, str]]) -> float | None:
        """Return for how long a server wants no requests, None if it does not say."""
        values = [value for key, value in pairs if key.lower() == RETRY_AFTER_HEADER]
        if not values or status not in WAIT_STATUSES:
            return None
        dates = [value for key, value in pairs if key.lower() == "date"]
        wait_s, ignored = parse_retry_after(values, self._read_date(dates))
        if ignored:
            log_message(
                "server:retry_after_unusual",
                found=ignored,
                allowed=f"0 to {MAX_RETRY_AFTER_S:g} seconds, or an HTTP date",
                used_s=wait_s,
            )
        return wait_s

    def _read_date(self, values: list[str]) -> float:
        """Return when a response was sent, in Unix seconds."""
        try:
            return parsedate_to_datetime(values[0]).timestamp()
        except (IndexError, ValueError, OverflowError):
            return self._get_unix_s()


def _decode_header_value(value: bytes) -> str:
    """Return the value of a header with a space for each control character."""
    return value.decode("latin-1").translate(CONTROL_CHARACTERS)


def _read_leaving(values_by_name: dict[str, str]) -> bool:
    """Return whether a server says that it leaves; log a value that is not known."""
    value = values_by_name.get(LEAVING_HEADER, "").strip()
    if value and value != LEAVING_VALUE:
        log_message("server:leaving_unknown", found=value[:40], allowed=LEAVING_VALUE)
    return value == LEAVING_VALUE


def _read_limit(
    pairs: list[tuple[str, str]], values_by_name: dict[str, str]
) -> float | None:
    """Return the requests per second that a server takes, infinite without a limit.

    None if it names a limit that can't be read.

    Args:
        pairs: The headers, as pairs of name and value.
        values_by_name: The last value of each header, by name in lower case.
    """
    if LIMIT_HEADER not in values_by_name:
        return math.inf
    values = [value for key, value in pairs if key.lower() == LIMIT_HEADER]
    per_s, ignored = parse_rate_limit(values)
    if ignored or per_s is None:
        log_message(
            "server:limit_unusual",
            found=ignored,
            allowed="requests per second, 0 or more",
            used_per_s=per_s,
        )
    return per_s


def _read_load(values_by_name: dict[str, str]) -> LoadStatement | None:
    """Return the load that a server states, None if it does not say."""
    value = values_by_name.get(LOAD_HEADER, "")
    if not value:
        return None
    counts = [text.strip() for text in value.split(",")]
    if len(counts) in LOAD_COUNTS and all(_is_count(count) for count in counts):
        running, waiting, slots, *speeds = map(int, counts)
        # Work takes some time on any machine, so that 0 is no speed.
        slow_factor = speeds[0] / USUAL_SPEED if any(speeds) else None
        return LoadStatement(running, waiting, slots, slow_factor)
    log_message(
        "server:load_unusual", found=value[:40], allowed="RUNNING,WAITING,SLOTS[,SPEED]"
    )
    return None
