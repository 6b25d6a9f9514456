"""Schemas and validation of the documents that the platform publishes.

A fleet is configured by three documents: ``configuration`` (classes of work with
their targets, and workspaces), ``hosts`` (the entry hosts, with a version by
which two hosts determine whose list is newer) and ``backend_servers``.
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
    """An entry host, which runs one daemon.

    Attributes:
        name: Unique name of the host.
        failure_domain: The failure domain that the host is in.
        address: IP address or host name.
        caller_port: TCP port for callers.
        peer_port: TCP port for other hosts.
        operator_port: TCP port for operators.
        state: A ``leaving`` host gets no new callers.
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
        name: Unique name of the server.
        failure_domain: The failure domain that the server is in.
        kind: Whether it is an engine or a service.
        address: IP address or host name.
        port: TCP port of its HTTP interface.
        provides: Names of its models (engines) or operations (services).
        slots: Number of requests that it runs concurrently.
        state: A ``leaving`` server gets no new requests.
        checks_fencing: Whether it refuses orders with an outdated fencing
            number.
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
    """A class of work with its latency targets, which operators set.

    Attributes:
        name: Unique name of the class.
        kind: The kind of backend server that runs its requests.
        needs: The model or operation that its requests use.
        repeatable: Whether a request of the class may run more than once.
        first_token_s: Target for the time to the first token, or to the response
            to a call, in seconds.
        between_tokens_s: Target for the time between two tokens, in seconds.
        whole_s: Target for the time to the end of the response, in seconds.
    """

    name: Name
    kind: Literal["engine", "service"]
    needs: Name
    repeatable: bool
    first_token_s: Seconds
    between_tokens_s: Seconds
    whole_s: Seconds


class Workspace(TypedDict):
    """A tenant; capacity is shared fairly between workspaces.

    Attributes:
        name: Unique name of the workspace.
    """

    name: Name


class ConfigurationDocument(TypedDict):
    """Classes of work and workspaces, as operators publish them.

    Attributes:
        version: Version of the document; a higher one replaces it.
        classes: The classes of work.
        workspaces: The workspaces that may send requests.
        load_multiple: Upper bound of an engine's load, as a multiple of the mean
            load.
    """

    version: Version
    classes: list[WorkClass]
    workspaces: list[Workspace]
    load_multiple: Annotated[float, msgspec.Meta(ge=1.05, le=4.0)]


class HostsDocument(TypedDict):
    """The entry hosts of the fleet.

    Attributes:
        version: Version of the document; a higher one replaces it.
        hosts: The hosts that are live or leaving.
    """

    version: Version
    hosts: list[Host]


class BackendServersDocument(TypedDict):
    """The backend servers of the fleet.

    Attributes:
        version: Version of the document; a higher one replaces it.
        backend_servers: The servers that are live or leaving.
    """

    version: Version
    backend_servers: list[BackendServer]


class PublishedDocument(NamedTuple):
    """A validated document with its version and digest.

    Two values published under one version are ordered by digest, so that all
    hosts converge on the same one.

    Attributes:
        name: Name of the document.
        version: The platform's version.
        digest: XXH3 hash of the body's canonical JSON, 16 hex digits.
        body: The document itself.
    """

    name: DocumentName
    version: int
    digest: str
    body: Any

    @property
    def version_key(self) -> tuple[int, str]:
        """The key that orders the versions of one document: version, then digest."""
        return (self.version, self.digest)


_SCHEMA_BY_NAME: dict[str, type] = {
    "configuration": ConfigurationDocument,
    "hosts": HostsDocument,
    "backend_servers": BackendServersDocument,
}


def check_document(name: DocumentName, value: Any) -> PublishedDocument:
    """Validate a published value against the schema of its document.

    Args:
        name: Name of the document that the value was published as.
        value: The decoded JSON value.

    Returns:
        The validated document.

    Raises:
        SettingsError: The value does not match the schema, or two entries of a
            list have the same name.

    Examples:
        >>> check_document("hosts", {"version": 3, "hosts": []}).version
        3
    """
    body = check_mapping(_SCHEMA_BY_NAME[name], value)
    _check_unique_names(name, body)
    return make_published(name, body)


def make_published(name: DocumentName, body: Any) -> PublishedDocument:
    """Return the document of a validated body, with its version and digest.

    Args:
        name: Name of the document.
        body: The validated body.
    """
    canonical = msgspec.json.encode(body, order="sorted")
    digest = xxhash.xxh3_64_hexdigest(canonical)
    return PublishedDocument(name, body["version"], digest, body)


def list_entry_fields(name: DocumentName) -> list[str]:
    """Return the names of a document's fields that are lists of named entries.

    Examples:
        >>> list_entry_fields("hosts")
        ['hosts']
    """
    hints = get_type_hints(_SCHEMA_BY_NAME[name])
    return [field for field, hint in hints.items() if get_origin(hint) is list]


def _check_unique_names(name: str, body: Any) -> None:
    for field in list_entry_fields(name):
        seen_names = set()
        for index, item in enumerate(body[field]):
            if item["name"] in seen_names:
                path = f"$.{field}[{index}].name"
                raise SettingsError(path, repr(item["name"]), "a unique name")
            seen_names.add(item["name"])
