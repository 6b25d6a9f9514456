"""The headers of requests and answers, as clients and servers spell them."""

from multidict import CIMultiDict

from oleanderpier.forwarding import Call, ResponseHead
from oleanderpier.routing import PromptPart, ServerEntry

__all__ = [
    "CREDENTIAL",
    "DEADLINE_MS",
    "OWN_HEADERS",
    "PROMPT",
    "REQUEST_ID",
    "RESUME_AFTER",
    "ServerDialect",
    "keep_headers",
    "read_prompt",
]

REQUEST_ID = "Request-Id"
RESUME_AFTER = "Last-Event-Id"
# Milliseconds that the client will wait.
DEADLINE_MS = "Request-Deadline-Ms"
# An API key.
CREDENTIAL = "Credential"
# The parts of the prompt, ID:TOKENS by commas.
PROMPT = "Prompt-Prefix"

# The id of the one server that may run the request.
EXPECTED_SERVER = "Expect-Instance"
# The workspace of the API key.
WORKSPACE = "Tenant-Name"
# 0 to 9, where 0 goes first.
URGENCY = "Request-Urgency"
MOST_URGENCY = 9
# Where the server copies cached parts of the prompt from, IP:PORT.
COPY_FROM = "Kv-Fetch"
SIGNATURE = "response-signature"
NOT_RUN = "not-executed"
ANOTHER_SERVER_STATUS = 421
# Statuses that promise that a request has not run.
PROMISING_STATUSES = frozenset({408, 429, 503})

# Headers of one connection only.
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
# Headers that only this system may set, or that are replaced on the way.
OWN_HEADERS = frozenset(
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
ANSWER_HEADERS_DROPPED = frozenset({"content-length", "date", "server"})


def keep_headers(headers, dropped: frozenset[str]) -> list[tuple[str, str]]:
    """Return the headers that go on, in order.

    Args:
        headers: Pairs of name and value.
        dropped: Names, in lower case, that do not go on either.
    """
    pairs = list(headers)
    named = {
        name.strip().lower()
        for key, value in pairs
        if key.lower() == "connection"
        for name in value.split(",")
    }
    left_out = HOP_HEADERS | dropped | (named - {REQUEST_ID.lower(), "host"})
    return [(key, value) for key, value in pairs if key.lower() not in left_out]


def read_prompt(value: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, none where the header can't be read.

    Examples:
        >>> read_prompt("5c1e07a2:800,91bd3f06:410")[1]
        PromptPart(identity='91bd3f06', tokens=410)
    """
    parts = []
    for text in (value or "").split(","):
        identity, _, tokens = text.strip().partition(":")
        if not identity or not tokens.isdigit():
            return ()
        parts.append(PromptPart(identity, int(tokens)))
    return tuple(parts)


class ServerDialect:
    """Writes requests for servers and reads the heads of their answers."""

    def format_request(
        self,
        call: Call,
        server: ServerEntry,
        time_left_s: float,
        last_event_id: str | None,
        copy_source: ServerEntry | None,
    ) -> CIMultiDict[str]:
        """Return the headers for a server; see ``Dialect.format_request``."""
        headers = CIMultiDict(call.headers)
        headers[DEADLINE_MS] = str(max(1, int(time_left_s * 1000)))
        headers[EXPECTED_SERVER] = server.identity
        priority = call.route.priority
        if call.workspace is not None:
            headers[WORKSPACE] = call.workspace.name
            if call.workspace.priority is not None:
                priority = call.workspace.priority
        if call.route.sticky:
            headers[URGENCY] = str(max(0, min(MOST_URGENCY, priority)))
        if copy_source is not None:
            headers[COPY_FROM] = copy_source.address
        if last_event_id is not None:
            headers[RESUME_AFTER] = last_event_id
        return headers

    def read_response_head(
        self, call: Call, status: int, headers: tuple[tuple[bytes, bytes], ...]
    ) -> ResponseHead:
        """Return what the head of an answer says."""
        pairs = [
            (key.decode("latin-1"), value.decode("latin-1")) for key, value in headers
        ]
        found = {key.lower(): value for key, value in pairs}
        not_run = NOT_RUN in found or status == ANOTHER_SERVER_STATUS
        own = found.get(REQUEST_ID.lower()) == call.identity
        plain = found.get("content-encoding", "identity") == "identity"
        return ResponseHead(
            status=status,
            headers=keep_headers(pairs, ANSWER_HEADERS_DROPPED),
            not_run=not_run,
            valid=own and plain and status not in PROMISING_STATUSES,
            signed=SIGNATURE in found,
        )
