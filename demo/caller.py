"""A caller: asks for addresses, keeps them, connects, checks its answers."""

import json
from typing import Any, NamedTuple

import aiohttp

__all__ = ["CallResponse", "Caller", "ChatResponse"]


class ChatResponse(NamedTuple):
    """What came of a chat request.

    Attributes:
        text: The text so far.
        whole: Whether the final event came and its total matches.
        refusal: What the fleet said if it refused or failed, else None.
    """

    text: str
    complete: bool
    refusal: dict[str, Any] | None = None


class CallResponse(NamedTuple):
    """What came of a call to a plain service; ``fate`` is empty if cut."""

    fate: str
    name: str
    body: Any
    retry_after_s: float | None


class Caller:
    """A caller with its list of addresses.

    Args:
        session: The HTTP client to use.
        directory: Base of a host's caller interface, to ask for addresses.
        workspace: Whose chats these are.
    """

    def __init__(
        self, session: aiohttp.ClientSession, directory_url: str, workspace: str
    ) -> None:
        self.session = session
        self.directory_url = directory_url
        self.workspace = workspace
        self.urls: list[str] = []

    async def refresh_addresses(self) -> list[str]:
        """Ask which addresses to use, and keep them."""
        query = {"workspace": self.workspace}
        url = f"{self.directory_url}/v1/addresses"
        async with self.session.get(url, params=query) as answer:
            rows = (await answer.json())["addresses"]
        self.urls = [f"http://{row['address']}:{row['port']}" for row in rows]
        return self.urls

    async def request_chat(
        self, chat: str, messages: list[str], max_tokens: int, url: str = ""
    ) -> ChatResponse:
        """Ask once and read the answer to its end or cut."""
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
            ) as answer:
                if answer.status != 200:
                    return ChatResponse("", False, await answer.json())
                return await _read_events(answer, texts)
        except aiohttp.ClientError:
            return ChatResponse("".join(texts), False)

    async def request_call(
        self, work_class: str, body: dict[str, Any], key: str = "", url: str = ""
    ) -> CallResponse:
        """Call a plain service once."""
        request: dict[str, Any] = {"workspace": self.workspace, "class": work_class}
        request["body"] = body
        if key:
            request["key"] = key
        try:
            async with self.session.post(
                f"{url or self.urls[0]}/v1/calls", json=request
            ) as answer:
                value = await answer.json()
        except aiohttp.ClientError:
            return CallResponse("", "", None, None)
        return CallResponse(
            value["fate"], value["name"], value.get("body"), value["retry_after_s"]
        )


async def _read_events(
    answer: aiohttp.ClientResponse, texts: list[str]
) -> ChatResponse:
    """Read events one by one; any gap in the offsets spoils the answer."""
    kind, offset, sound = "", -1, True
    async for line in answer.content:
        name, _, value = line.decode().rstrip("\n").partition(": ")
        if name == "event":
            kind = value
        elif name == "id":
            offset = int(value.rpartition(":")[2])
        elif name == "data" and kind == "end":
            total = json.loads(value)["total"]
            whole = sound and total == offset == len(texts)
            return ChatResponse("".join(texts), whole)
        elif name == "data" and kind == "failed":
            return ChatResponse("".join(texts), False, json.loads(value))
        elif name == "data":
            sound = sound and offset == len(texts)
            texts.append(json.loads(value)["text"])
    return ChatResponse("".join(texts), False)
