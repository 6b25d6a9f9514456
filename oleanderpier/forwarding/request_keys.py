"""The keys by which a request is compared with those that crashed servers."""

import hashlib
from functools import cached_property

from oleanderpier.forwarding.records import Call
from oleanderpier.routing import REQUEST_KEY_PREFIX, SuspectKeys
from oleanderpier.utils import hash_text

__all__ = ["RequestKeys", "list_prompt_keys"]

# The most parts, ``ID:TOKENS`` with a comma, that 16 KiB of headers hold.
MAX_PARTS = 4096
MAX_KEY_LENGTH = 64
DIGEST_BYTES = 12
LENGTH_BYTES = 8


class RequestKeys:
    """The keys of one request.

    Args:
        call: The request.

    Attributes:
        identity: The caller's id of the request.
        marks: Further keys of the attempt that is made now.
        was_in_crash: Whether a server crashed during an earlier attempt.
        is_trial: Whether it tests if a quarantined key still crashes servers.
    """

    def __init__(self, call: Call) -> None:
        self.identity = call.identity
        self.marks: SuspectKeys = ()
        self.was_in_crash = False
        self.is_trial = False
        self._call = call

    @cached_property
    def prompt(self) -> SuspectKeys:
        """The keys of the parts of its prompt that other requests may share."""
        return list_prompt_keys(self._call)

    @cached_property
    def whole(self) -> str:
        """The key of the request as a whole: of its path, its caller and its body.

        The same for each time that it is sent, by any host. A cryptographic hash, so
        that no caller can choose a request with the key of another one.
        """
        call = self._call
        caller = "" if call.workspace is None else call.workspace.name
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for field in (call.route.host_name, call.path, caller):
            encoded = field.encode("utf-8", "surrogateescape")
            digest.update(len(encoded).to_bytes(LENGTH_BYTES, "big"))
            digest.update(encoded)
        digest.update(call.body)
        return REQUEST_KEY_PREFIX + digest.hexdigest()


def list_prompt_keys(call: Call) -> SuspectKeys:
    """Return the keys of the parts of a prompt that other requests may share.

    The last part belongs to the request alone. Long ids are replaced by hashes.
    """
    return tuple(
        identity if len(identity) <= MAX_KEY_LENGTH else f"{hash_text(identity):016x}"
        for identity, _ in call.prompt_parts[:-1][:MAX_PARTS]
    )
