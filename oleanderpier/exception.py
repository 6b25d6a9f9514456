"""Exceptions of oleanderpier, with a common base class."""

__all__ = [
    "CallerDisconnectedError",
    "MessageError",
    "OleanderpierError",
    "PlatformError",
    "RevisionCompactedError",
    "SettingsError",
    "UnknownMessageError",
]


class OleanderpierError(Exception):
    """Base class of all exceptions of the package."""


class SettingsError(OleanderpierError):
    """A settings or configuration document is invalid.

    Args:
        path: Path of the invalid value in the document, such as
            ``$.limits.drain_s``.
        found: Description of the value that was found.
        allowed: Description of the values that are allowed.
    """

    def __init__(self, path: str, found: str, allowed: str):
        super().__init__(f"{path}: found {found}, allowed {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


class MessageError(OleanderpierError):
    """A message from a peer is malformed or of an unknown type."""


class UnknownMessageError(MessageError):
    """A message from a peer has a number that is not registered."""


class PlatformError(OleanderpierError):
    """The platform did not respond, or refused a call.

    Attributes:
        needs_full_read: Whether all values have to be read again before
            changes can be watched.
    """

    needs_full_read = False


class RevisionCompactedError(PlatformError):
    """The platform has compacted the history of changes after a revision."""

    needs_full_read = True


class CallerDisconnectedError(OleanderpierError):
    """The caller closed its connection before the response was complete."""
