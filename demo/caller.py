"""A caller that resolves addresses, sends requests and validates the responses."""

import json
from typing import Any, NamedTuple

import aiohttp

__all__ = ["CallResponse", "Caller", "ChatResponse"]


class ChatResponse(NamedTuple):
    """The outcome of a chat request.

    Attributes:
        text: The text received so far.
        complete: Whether the final event was received and its total matches.
        refusal: Body of the refusal or data of the ``failed`` event, else None.
    """

    text: str
    complete: bool
    refusal: dict[str, Any] | None = None


class CallResponse(NamedTuple):
    """The outcome of a call to a plain service.

    Attributes:
        fate: Fate of the call, such as ``done``; empty if the connection was cut.
        name: Name of the result code; empty if the connection was cut.
        body: Body of the service's response, or None.
        retry_after_s: Time to wait before a repetition, in seconds, or None.
    """

    fate: str
    name: str
    body: Any
    retry_after_s: float | None


class Caller:
    """A caller with its list of addresses.

    Args:
        session: HTTP client session.
        directory_url: Base URL of the caller interface that resolves addresses.
        workspace: Name of the workspace that the requests belong to.

    Attributes:
        urls: Base URLs of the resolved hosts, the preferred one first.
    """

    def __init__(
        self, session: aiohttp.ClientSession, directory_url: str, workspace: str
    ) -> None:
        self.session = session
        self.directory_url = directory_url
        self.workspace = workspace
        self.urls: list[str] = []

    async def refresh_addresses(self) -> list[str]:
        """Resolve the addresses to use, store their URLs and return them."""
        query = {"workspace": self.workspace}
        url = f"{self.directory_url}/v1/addresses"
        async with self.session.get(url, params=query) as response:
            rows = (await response.json())["addresses"]
        self.urls = [f"http://{row['address']}:{row['port']}" for row in rows]
        return self.urls

    async def request_chat(
        self, chat: str, messages: list[str], max_tokens: int, url: str = ""
    ) -> ChatResponse:
        """Send a chat request once and read the response until it ends or is cut."""
        body = {
            "workspace": self.workspace,
            "class": "trip-summary",
            "chat": chat,
            "messages": messages,
            "max_tokens": max_tokens,
        }
        texts: list[str] = []
        try:
            async with self.session.post(
                f"{url or self.urls[0]}/v1/chats", json=body
            ) as response:
                if response.status != 200:
                    return ChatResponse("", False, await response.json())
                return await _read_events(response, texts)
        except aiohttp.ClientError:
            return ChatResponse("".join(texts), False)

    async def request_call(
        self, work_class: str, body: dict[str, Any], key: str = "", url: str = ""
    ) -> CallResponse:
        """Send a call to a plain service once."""
        request: dict[str, Any] = {"workspace": self.workspace, "class": work_class}
        request["body"] = body
        if key:
            request["key"] = key
        try:
            async with self.session.post(
                f"{url or self.urls[0]}/v1/calls", json=request
            ) as response:
                value = await response.json()
        except aiohttp.ClientError:
            return CallResponse("", "", None, None)
        return CallResponse(
            value["fate"], value["name"], value.get("body"), value["retry_after_s"]
        )


async def _read_events(
    response: aiohttp.ClientResponse, texts: list[str]
) -> ChatResponse:
    """Read the events of a stream; with a gap in the offsets it is incomplete."""
    kind, offset, contiguous = "", -1, True
    async for line in response.content:
        name, _, value = line.decode().rstrip("\n").partition(": ")
        if name == "event":
            kind = value
        elif name == "id":
            offset = int(value.rpartition(":")[2])
        elif name == "data" and kind == "end":
            total = json.loads(value)["total"]
            complete = contiguous and total == offset == len(texts)
            return ChatResponse("".join(texts), complete)
        elif name == "data" and kind == "failed":
            return ChatResponse("".join(texts), False, json.loads(value))
        elif name == "data":
            contiguous = contiguous and offset == len(texts)
            texts.append(json.loads(value)["text"])
    return ChatResponse("".join(texts), False)
