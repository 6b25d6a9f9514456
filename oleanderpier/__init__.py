"""A router fleet for returning chats.

The root offers the aggregates and the values that they exchange with a daemon;
each package exports the rest of its own. A name is imported when it is first
used, so that a program loads only the parts that it runs.
"""

from importlib import import_module
from typing import Any

_PACKAGES = {
    "claims": ("Claims", "HostLists", "run_call"),
    "configuration": (
        "Documents",
        "PublishedDocument",
        "DocumentGossip",
        "WatcherSelection",
        "check_document",
    ),
    "events": ("Clock", "Event", "Ring", "merge_events"),
    "exception": (
        "CallerGoneError",
        "HistoryGoneError",
        "MessageError",
        "OleanderpierError",
        "PlatformError",
        "SettingsError",
        "UnknownMessageError",
    ),
    "membership": ("BackendServers", "Members"),
    "peers": ("Mesh",),
    "placement": ("Placement",),
    "relay": ("Relay", "relay_answer"),
    "results": (
        "Code",
        "Failure",
        "Fate",
        "MaybeSent",
        "NotSent",
        "RefusalBody",
        "SendError",
        "describe_code",
        "list_codes",
        "make_refusal_body",
        "make_refusal_response",
    ),
    "settings": ("Settings", "read_settings"),
    "utils": (
        "LoopTimers",
        "ManualTimers",
        "Outbox",
        "Subscription",
        "Timers",
        "check_mapping",
        "convert_mapping",
        "decode_message",
        "encode_message",
        "hash_text",
        "list_messages",
        "make_key",
        "make_unpacker",
        "pack_key",
        "rank_candidates",
        "read_key_time",
        "register_message",
        "run_coroutine",
        "unpack_key",
        "unpack_message",
    ),
}
_HOMES = {name: package for package, names in _PACKAGES.items() for name in names}

__all__ = sorted(_HOMES)


def __getattr__(name: str) -> Any:
    """Import a public name when it is first used."""
    package = _HOMES.get(name)
    if package is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{package}"), name)
