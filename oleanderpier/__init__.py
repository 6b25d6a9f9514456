"""A router fleet for returning chats.

The top-level package exports the main classes and the types that they exchange
with a daemon; further names are exported by each subpackage. Names are imported
on first use, so that a program loads only the subpackages that it needs.
"""

from importlib import import_module
from typing import Any

_NAMES_BY_PACKAGE = {
    "claims": ("Claims", "HostLists", "run_call"),
    "configuration": (
        "Documents",
        "PublishedDocument",
        "DocumentGossip",
        "WatcherSelection",
        "check_document",
    ),
    "events": ("Clock", "Event", "EventBuffer", "merge_events"),
    "exception": (
        "CallerDisconnectedError",
        "RevisionCompactedError",
        "MessageError",
        "OleanderpierError",
        "PlatformError",
        "SettingsError",
        "UnknownMessageError",
    ),
    "membership": ("BackendServers", "Members"),
    "peers": ("Mesh",),
    "placement": ("Placement",),
    "relay": ("Relay", "relay_response"),
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
        "list_message_classes",
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
_PACKAGE_OF_NAME = {
    name: package for package, names in _NAMES_BY_PACKAGE.items() for name in names
}

__all__ = sorted(_PACKAGE_OF_NAME)


def __getattr__(name: str) -> Any:
    """Import an exported name on first use."""
    package = _PACKAGE_OF_NAME.get(name)
    if package is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{package}"), name)
