"""Load patterns: validated JSON files, each of which overrides fields of ``calm``."""

from pathlib import Path
from typing import Any, Literal, NotRequired, TypedDict

import msgspec

from oleanderpier.exception import SettingsError
from oleanderpier.utils import convert_mapping

__all__ = ["Disturbance", "Pattern", "RequestClass", "list_patterns", "read_pattern"]

PATTERNS_DIR = Path(__file__).parent / "patterns"
BASE_PATTERN = "calm"


class PromptLevel(TypedDict):
    """One level of the shared prompt parts of a request class.

    Attributes:
        things: Number of different parts at this level.
        tokens: Length of each part, in tokens.
    """

    things: int
    tokens: int


class RequestClass(TypedDict):
    """A class of requests with the same prompt structure and latency target.

    Attributes:
        name: Name of the class.
        per_s: Mean arrival rate over the whole fleet, in requests per second.
        chain: Levels of shared prompt parts, from the start of the prompt.
        own_tokens: Mean length of the rest of the prompt, in tokens.
        events: Mean number of stream events of a response.
        target_s: Maximum time to the first event of an on-time response.
        deadline_s: Time that the simulation runs on after the last arrival, so that
            requests can finish; the largest of all classes counts.
        worth: Weight of one request in the on-time ratio.
    """

    name: str
    per_s: float
    chain: list[PromptLevel]
    own_tokens: int
    events: int
    target_s: float
    deadline_s: float
    worth: float


class Disturbance(TypedDict):
    """A change of the load, the engines or the hosts during a run.

    Attributes:
        kind: Type of the disturbance.
        at_s: Start time, in seconds of simulated time.
        for_s: Duration, for disturbances that end; for engines that say that they
            leave, the time until the platform lists it.
        x: Factor by which arrivals become more frequent or engine steps longer, or
            the seconds that an engine asks for.
        count: Number of engines affected.
        share: Ratio of a class's requests that use one prompt, or of the hosts that
            are killed or cut off from the platform.
        name: Request class affected; all classes if absent.
    """

    kind: Literal[
        "burst",
        "hot_key",
        "crash",
        "slow",
        "join",
        "leave",
        "herd_kill",
        "ask_for_time",
        "say_leaving",
    ]
    at_s: float
    for_s: NotRequired[float]
    x: NotRequired[float]
    count: NotRequired[int]
    share: NotRequired[float]
    name: NotRequired[str]


class Pattern(TypedDict):
    """A fleet, its load and the disturbances of a run.

    Attributes:
        answers: Description of the situation that the pattern stands for.
        hosts: Number of hosts.
        failure_domains: Number of failure domains, which hosts join in turn.
        engines: Number of engines at the start.
        slots: Requests that an engine runs concurrently.
        capacity_tokens: Memory of an engine, in tokens.
        tokens_an_event: Number of generated tokens per stream event.
        states_speed: Whether responses state the engine's load and speed.
        length_s: Time during which requests arrive, in seconds.
        classes: The request classes.
        troubles: The disturbances.
    """

    answers: str
    hosts: int
    failure_domains: int
    engines: int
    slots: int
    capacity_tokens: int
    tokens_an_event: int
    states_speed: bool
    length_s: float
    classes: list[RequestClass]
    troubles: list[Disturbance]


def list_patterns() -> list[str]:
    """Return the sorted names of all patterns."""
    return sorted(path.stem for path in PATTERNS_DIR.glob("*.json"))


def read_pattern(name: str) -> Pattern:
    """Return a pattern: the fields of ``calm``, overridden by those of its own file.

    Args:
        name: Name of the file, without its extension.

    Raises:
        SettingsError: If there is no such pattern, or if a field is invalid; the
            error holds the path, the value found and the values allowed.
    """
    value = {**_read_file(BASE_PATTERN), **_read_file(name)}
    return convert_mapping(Pattern, value)


def _read_file(name: str) -> dict[str, Any]:
    path = PATTERNS_DIR / f"{name}.json"
    if not path.is_file():
        raise SettingsError("$", name, " or ".join(list_patterns()))
    return msgspec.json.decode(path.read_bytes())
