"""Load patterns: checked JSON files, each a change of the calm one."""

from pathlib import Path
from typing import Any, Literal, NotRequired, TypedDict

import msgspec

from oleanderpier.exception import SettingsError
from oleanderpier.utils import convert_mapping

__all__ = ["Pattern", "RequestClass", "Trouble", "list_patterns", "read_pattern"]

FOLDER = Path(__file__).parent / "patterns"
CALM = "calm"


class Level(TypedDict):
    """One level of a prompt's shared start: how many parts, and their length."""

    things: int
    tokens: int


class RequestClass(TypedDict):
    """A class of requests.

    ``per_s`` is for the whole fleet; times are in seconds; ``worth`` is by
    request; ``events`` is the mean number of an answer's events.
    """

    name: str
    per_s: float
    chain: list[Level]
    own_tokens: int
    events: int
    target_s: float
    deadline_s: float
    worth: float


class Trouble(TypedDict):
    """Something that happens to the load, the engines or the hosts.

    ``x`` is how strong, ``count`` how many, ``share`` of what part; ``name``
    limits it to a class.
    """

    kind: Literal["burst", "hot_key", "crash", "slow", "join", "leave", "herd_kill"]
    at_s: float
    for_s: NotRequired[float]
    x: NotRequired[float]
    count: NotRequired[int]
    share: NotRequired[float]
    name: NotRequired[str]


class Pattern(TypedDict):
    """A fleet, its load and what happens to them."""

    answers: str
    hosts: int
    engines: int
    slots: int
    capacity_tokens: int
    tokens_an_event: int
    length_s: float
    classes: list[RequestClass]
    troubles: list[Trouble]


def list_patterns() -> list[str]:
    """Return the names of the patterns that there are."""
    return sorted(path.stem for path in FOLDER.glob("*.json"))


def read_pattern(name: str) -> Pattern:
    """Return a pattern: the calm one with its own fields in place.

    Args:
        name: The file's name without its ending.

    Raises:
        SettingsError: With the path, what was found and what is allowed.
    """
    value = {**_read_file(CALM), **_read_file(name)}
    return convert_mapping(Pattern, value)


def _read_file(name: str) -> dict[str, Any]:
    path = FOLDER / f"{name}.json"
    if not path.is_file():
        raise SettingsError("$", name, " or ".join(list_patterns()))
    return msgspec.json.decode(path.read_bytes())
