"""The documents that the platform publishes, and their checks.

Three documents rule a fleet: ``configuration`` (classes of work with their
targets, and workspaces), ``hosts`` (the entry hosts, versioned so that two
hosts can tell whose list is newer) and ``backend_servers``.
"""

from typing import (
    Annotated,
    Any,
    Literal,
    NamedTuple,
    TypedDict,
    get_origin,
    get_type_hints,
)

import msgspec
import xxhash

from oleanderpier.exception import SettingsError
from oleanderpier.utils.schema import check_mapping

__all__ = [
    "BackendServer",
    "BackendServersDocument",
    "ConfigurationDocument",
    "DocumentName",
    "Host",
    "HostsDocument",
    "PublishedDocument",
    "WorkClass",
    "Workspace",
    "check_document",
    "list_entry_fields",
    "make_published",
]

DocumentName = Literal["configuration", "hosts", "backend_servers"]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = Annotated[str, msgspec.Meta(pattern="^[a-zA-Z0-9._-]{1,64}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Version = Annotated[int, msgspec.Meta(ge=1)]


class Host(TypedDict):
    """An entry host, where one daemon runs.

    Attributes:
        state: ``leaving`` hosts get no new callers.
    """

    name: Name
    failure_domain: Name
    address: str
    caller_port: Port
    peer_port: Port
    operator_port: Port
    state: Literal["live", "leaving"]


class BackendServer(TypedDict):
    """A model engine or a plain service to which requests are routed.

    Attributes:
        provides: Names of models (engines) or operations (services).
        slots: How many requests it runs at once.
        checks_fencing: Whether it refuses orders with an old fencing number.
    """

    name: Name
    failure_domain: Name
    kind: Literal["engine", "service"]
    address: str
    port: Port
    provides: list[Name]
    slots: Annotated[int, msgspec.Meta(ge=1, le=4096)]
    state: Literal["live", "leaving"]
    checks_fencing: bool


class WorkClass(TypedDict):
    """A class of work and its target, the operators' only lever.

    Attributes:
        needs: The model or operation that the class uses.
        repeatable: Whether a request of the class may run more than once.
        first_token_s: Target for the first token, or for a call's answer.
        between_tokens_s: Target between two tokens.
        whole_s: Target for the whole answer.
    """

    name: Name
    kind: Literal["engine", "service"]
    needs: Name
    repeatable: bool
    first_token_s: Seconds
    between_tokens_s: Seconds
    whole_s: Seconds


class Workspace(TypedDict):
    """A customer's own space; fairness holds between workspaces."""

    name: Name


class ConfigurationDocument(TypedDict):
    """Classes of work and workspaces, as operators publish them.

    Attributes:
        load_multiple: No engine carries more than this multiple of the mean.
    """

    version: Version
    classes: list[WorkClass]
    workspaces: list[Workspace]
    load_multiple: Annotated[float, msgspec.Meta(ge=1.05, le=4.0)]


class HostsDocument(TypedDict):
    """The entry hosts; the list is one step newer with each version."""

    version: Version
    hosts: list[Host]


class BackendServersDocument(TypedDict):
    """The backend servers that are live or leaving."""

    version: Version
    backend_servers: list[BackendServer]


class PublishedDocument(NamedTuple):
    """A checked document with its place in the order of publication.

    Two values published under one version are ordered by digest, so that
    every host settles on the same one.

    Attributes:
        name: Which document.
        version: The platform's version.
        digest: Hash of the canonical bytes, 16 hex digits.
        body: The document itself.
    """

    name: DocumentName
    version: int
    digest: str
    body: Any

    @property
    def version_key(self) -> tuple[int, str]:
        """The key by which documents of one name rise."""
        return (self.version, self.digest)


_SCHEMAS: dict[str, type] = {
    "configuration": ConfigurationDocument,
    "hosts": HostsDocument,
    "backend_servers": BackendServersDocument,
}


def check_document(name: DocumentName, value: Any) -> PublishedDocument:
    """Check a published value against its schema.

    Args:
        name: Which document it should be.
        value: The decoded JSON value.

    Returns:
        The checked document.

    Raises:
        SettingsError: The value does not match; nothing of it is applied.

    Examples:
        >>> check_document("hosts", {"version": 3, "hosts": []}).version
        3
    """
    body = check_mapping(_SCHEMAS[name], value)
    _check_names(name, body)
    return make_published(name, body)


def make_published(name: DocumentName, body: Any) -> PublishedDocument:
    """Return a body that was already checked as a document with its digest.

    Args:
        name: Which document it is.
        body: The checked body.
    """
    canonical = msgspec.json.encode(body, order="sorted")
    digest = xxhash.xxh3_64_hexdigest(canonical)
    return PublishedDocument(name, body["version"], digest, body)


def list_entry_fields(name: DocumentName) -> list[str]:
    """Return the fields of a document that are lists of named entries.

    Examples:
        >>> list_entry_fields("hosts")
        ['hosts']
    """
    hints = get_type_hints(_SCHEMAS[name])
    return [field for field, hint in hints.items() if get_origin(hint) is list]


def _check_names(name: str, body: Any) -> None:
    for field in list_entry_fields(name):
        seen = set()
        for index, item in enumerate(body[field]):
            if item["name"] in seen:
                path = f"$.{field}[{index}].name"
                raise SettingsError(path, repr(item["name"]), "a name used once")
            seen.add(item["name"])
