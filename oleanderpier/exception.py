"""Exceptions of oleanderpier, all under one base class."""

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
    """Base class of the exceptions that the package raises."""


class SettingsError(OleanderpierError):
    """A settings or configuration document does not match its schema.

    Args:
        path: Where in the document, such as ``$.limits.drain_s``.
        found: What stands there.
        allowed: What may stand there.
    """

    def __init__(self, path: str, found: str, allowed: str):
        super().__init__(f"{path}: found {found}, allowed {allowed}")
        self.path = path
        self.found = found
        self.allowed = allowed


class MessageError(OleanderpierError):
    """A message of a peer is malformed, or of an unknown kind."""


class UnknownMessageError(MessageError):
    """A message of a peer has a number that no part takes."""


class PlatformError(OleanderpierError):
    """The platform did not answer, or refused a call.

    Attributes:
        needs_full_read: Whether only reading everything anew helps.
    """

    needs_full_read = False


class RevisionCompactedError(PlatformError):
    """The platform no longer knows what changed after a revision."""

    needs_full_read = True


class CallerDisconnectedError(OleanderpierError):
    """The caller closed its connection before the answer was whole."""
