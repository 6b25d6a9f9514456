"""Checks a configuration document before operators send it to the platform.

Hosts refuse a document whose fields have wrong types, and keep the one in force. They
accept one with entries that no request can match, or with limits that contradict each
other, and requests then fail. A check finds both before any host reads the document.

Values in tenants are not shown, except those of fields that are known to hold no key.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from types import UnionType
from typing import (
    Any,
    NamedTuple,
    NotRequired,
    TypedDict,
    get_args,
    get_origin,
    get_type_hints,
    is_typeddict,
)

from oleanderpier.exception import SettingsError
from oleanderpier.platform.documents import (
    REQUEST_KINDS,
    ConfigurationDocument,
    EngineDocument,
    decode_configuration,
    decode_json,
)
from oleanderpier.utils import convert_mapping

__all__ = ["CheckReport", "Difference", "Fault", "Remark", "check_configuration"]

# Long values are cut, as in the error messages of hosts.
MAX_SHOWN = 80
# The only fields of a tenant whose values are shown: a key that was put into another
# one by mistake would be shown too.
SHOWN_TENANT_FIELDS = ("Name", "Priority", "AllowedRegions")
_TYPE_NAMES = {
    dict: "an object",
    list: "a list",
    str: "a string",
    bool: "a boolean",
    int: "a number",
    float: "a number",
    type(None): "null",
}


class Fault(NamedTuple):
    """An error, for which hosts refuse the document.

    Attributes:
        path: Path of the field, such as ``$.Routes[2].TimeoutMs``.
        found: What the document has there.
        allowed: What is allowed there.
    """

    path: str
    found: str
    allowed: str


class Remark(NamedTuple):
    """A warning: hosts accept the document, but it probably says what nobody means.

    Attributes:
        path: Path of the entry or the field.
        text: What is wrong.
    """

    path: str
    text: str


class Difference(NamedTuple):
    """A difference from the version in force.

    Attributes:
        section: The section of the document, such as ``Routes``.
        name: The name of the entry, or of the field in ``Limits``.
        change: ``added``, ``removed`` or ``changed``.
        detail: The fields that have changed, with the values before and after.
    """

    section: str
    name: str
    change: str
    detail: str


class CheckReport(NamedTuple):
    """The result of a check.

    Attributes:
        errors: The errors. If there are type errors, nothing else is checked.
        unmatched: Entries that can never match.
        contradictions: Limits that contradict each other.
        differences: The differences from the version in force.
    """

    errors: list[Fault]
    unmatched: list[Remark]
    contradictions: list[Remark]
    differences: list[Difference]


class _Limits(TypedDict):
    """The limits for callers. Hosts read the first one only."""

    MaxBodyBytes: int
    MaxHeaderBytes: NotRequired[int | None]
    HeaderTimeoutMs: NotRequired[float | None]
    IdleTimeoutMs: NotRequired[float | None]


def check_configuration(data: bytes, in_force: bytes | None = None) -> CheckReport:
    """Check a configuration document.

    Args:
        data: The JSON document.
        in_force: The JSON document of the version in force, None to compare nothing.

    Raises:
        SettingsError: The version in force is no valid configuration.
    """
    known = None
    if in_force is not None:
        known = decode_json(in_force)
        faults = _find_faults(known)
        if faults:
            raise SettingsError(*faults[0])
    try:
        document = decode_json(data)
        faults = _find_faults(document)
        if not faults:
            decode_configuration(data)
    except SettingsError as error:
        faults = [Fault(error.path, error.found, error.allowed)]
    if faults:
        return CheckReport(faults, [], [], [])
    differences = []
    if known is not None:
        faults += _compare_versions(document["Version"], known["Version"])
        differences = _list_differences(known, document)
    return CheckReport(
        faults,
        [*_find_unmatched_routes(document), *_find_unmatched_tenants(document)],
        [
            *_find_contradicting_routes(document),
            *_find_contradicting_services(document),
            *_find_contradicting_limits(document["Limits"]),
        ],
        differences,
    )


def _find_faults(document: Any) -> list[Fault]:
    """Return all fields of a wrong type, and routes of an unknown kind."""
    faults = _check_value(ConfigurationDocument, document, "$")
    if not isinstance(document, dict):
        return faults
    limits = document.get("Limits")
    if isinstance(limits, dict):
        faults += _check_value(_Limits, limits, "$.Limits")
    for path, service in _list_entries(document, "Services"):
        # Hosts read it only of services with limits for cold servers.
        if service.get("ColdPerS"):
            engine = service.get("Engine") or {}
            faults += _check_value(EngineDocument, engine, f"{path}.Engine")
    for path, route in _list_entries(document, "Routes"):
        kind = route.get("RouteKind")
        if isinstance(kind, str) and kind not in REQUEST_KINDS:
            allowed = " or ".join(REQUEST_KINDS)
            faults.append(Fault(f"{path}.RouteKind", _show(kind), allowed))
    # The limits that hosts read were checked twice.
    return list(dict.fromkeys(faults))


def _check_value(schema: Any, value: Any, path: str) -> list[Fault]:
    """Return the faults of a value and of all fields and items in it.

    A conversion of the whole document would stop at the first one.
    """
    try:
        convert_mapping(schema, value)
    except SettingsError as error:
        allowed = error.allowed
    else:
        return []
    schema = _omit_null(schema)
    faults = []
    for kind, item, item_path in _list_parts(schema, value, path):
        faults += _check_value(kind, item, item_path)
    if is_typeddict(schema) and isinstance(value, dict):
        for field in sorted(schema.__required_keys__ - value.keys()):
            faults.append(Fault(f"{path}.{field}", "nothing", "a value"))
    return faults or [Fault(path, _describe(value, path), allowed)]


def _omit_null(schema: Any) -> Any:
    """Return the other type of a union with null, any other type as it is."""
    if get_origin(schema) is UnionType:
        kinds = [kind for kind in get_args(schema) if kind is not type(None)]
        return kinds[0] if len(kinds) == 1 else schema
    return schema


def _list_parts(schema: Any, value: Any, path: str) -> Iterator[tuple[Any, Any, str]]:
    """Yield the type, the value and the path of each known field or item."""
    if is_typeddict(schema) and isinstance(value, dict):
        for field, hint in get_type_hints(schema, include_extras=True).items():
            if field in value:
                kind = get_args(hint)[0] if get_origin(hint) is NotRequired else hint
                yield kind, value[field], f"{path}.{field}"
    elif get_origin(schema) is list and isinstance(value, list):
        for index, item in enumerate(value):
            yield get_args(schema)[0], item, f"{path}[{index}]"


def _describe(value: Any, path: str) -> str:
    """Return a value as text, or its type only if a key could be in it."""
    is_shown = path.count(".") > 0 and not isinstance(value, dict | list)
    if path.startswith("$.Tenants"):
        field = path.rpartition(".")[2].partition("[")[0]
        is_shown = is_shown and field in SHOWN_TENANT_FIELDS
    return _show(value) if is_shown else _TYPE_NAMES[type(value)]


def _show(value: Any) -> str:
    return repr(value)[:MAX_SHOWN]


def _list_entries(document: dict, section: str) -> list[tuple[str, dict]]:
    """Return the entries of a section, each with its path."""
    entries = document.get(section)
    if not isinstance(entries, list):
        return []
    return [
        (f"$.{section}[{index}]", entry)
        for index, entry in enumerate(entries)
        if isinstance(entry, dict)
    ]


def _list_services(route: dict) -> list[str]:
    """Return the services that a route names, as hosts read them."""
    if route.get("Service"):
        return [route["Service"]]
    return [share["Service"] for share in route.get("TrafficSplit") or ()]


def _find_unmatched_routes(document: dict) -> Iterator[Remark]:
    """Yield routes and services that no request can reach."""
    routes = _list_entries(document, "Routes")
    # Of several routes with one host and prefix, hosts use the last one.
    used = {(route["Host"].lower(), route["Prefix"]): path for path, route in routes}
    services = {entry["Name"] for _, entry in _list_entries(document, "Services")}
    named: set[str] = set()
    for path, route in routes:
        name, prefix = route["Name"], route["Prefix"]
        used_path = used[route["Host"].lower(), prefix]
        if used_path != path:
            text = f"route {name!r} is hidden by {used_path}, of the same host and"
            yield Remark(path, f"{text} prefix {prefix!r}")
        if not (prefix.startswith("/") and prefix.endswith("/")):
            text = f"prefix {prefix!r} of route {name!r} has no slash at both ends"
            yield Remark(f"{path}.Prefix", text)
        route_services = _list_services(route)
        if not route_services:
            yield Remark(path, f"route {name!r} names no service")
        named.update(route_services)
        if document.get("Services") is None:
            continue
        for service in route_services:
            if service not in services:
                text = f"route {name!r} names service {service!r}, which is not listed"
                yield Remark(path, text)
    for path, service in _list_entries(document, "Services"):
        if service["Name"] not in named:
            yield Remark(path, f"no route names service {service['Name']!r}")


def _find_unmatched_tenants(document: dict) -> Iterator[Remark]:
    """Yield tenants without keys, and keys of several tenants by their place."""
    owners: dict[str, str] = {}
    for path, tenant in _list_entries(document, "Tenants"):
        name = tenant["Name"]
        if not tenant["ApiKeys"]:
            yield Remark(path, f"tenant {name!r} has no keys")
        for index, key in enumerate(tenant["ApiKeys"]):
            owner = owners.setdefault(key, path)
            if owner != path:
                text = f"key of tenant {name!r} is also one of {owner}"
                yield Remark(f"{path}.ApiKeys[{index}]", text)


def _find_contradicting_routes(document: dict) -> Iterator[Remark]:
    for path, route in _list_entries(document, "Routes"):
        timeout_ms = route["TimeoutMs"]
        for field in ("TargetLatencyMs", "TargetGapMs"):
            target_ms = route.get(field)
            if target_ms is not None and target_ms > timeout_ms:
                text = f"{target_ms} is above TimeoutMs {timeout_ms}"
                yield Remark(f"{path}.{field}", text)
        attempts = route.get("MaxAttempts")
        if attempts is not None and attempts < 1:
            text = f"{attempts} allows no attempt; hosts make one nevertheless"
            yield Remark(f"{path}.MaxAttempts", text)


def _find_contradicting_services(document: dict) -> Iterator[Remark]:
    for path, service in _list_entries(document, "Services"):
        if service.get("ColdPerS") and not service.get("ColdStartS"):
            text = f"{service['ColdPerS']} without ColdStartS: no server is ever cold"
            yield Remark(f"{path}.ColdPerS", text)


def _find_contradicting_limits(limits: dict) -> Iterator[Remark]:
    for field, bound in (
        ("MaxHeaderBytes", "MaxBodyBytes"),
        ("HeaderTimeoutMs", "IdleTimeoutMs"),
    ):
        found, most = limits.get(field), limits.get(bound)
        if found is not None and most is not None and found > most:
            yield Remark(f"$.Limits.{field}", f"{found} is above {bound} {most}")


def _compare_versions(version: int, known: int) -> list[Fault]:
    if version > known:
        return []
    return [Fault("$.Version", str(version), f"more than {known}, which is in force")]


def _list_differences(before: dict, after: dict) -> list[Difference]:
    differences = []
    for section, describe in (
        ("Routes", _describe_change),
        ("Services", _describe_change),
        ("Tenants", _describe_tenant_change),
    ):
        differences += _compare_entries(
            section,
            _index_by_name(before.get(section) or ()),
            _index_by_name(after.get(section) or ()),
            describe,
        )
    return differences + _compare_entries(
        "Limits", before["Limits"], after["Limits"], _describe_values
    )


def _index_by_name(entries: Iterable[dict]) -> dict[str, dict]:
    """Return entries by name; further ones of the same name get a number."""
    seen: Counter[str] = Counter()
    named = {}
    for entry in entries:
        name = entry["Name"]
        seen[name] += 1
        named[f"{name} ({seen[name]})" if seen[name] > 1 else name] = entry
    return named


def _compare_entries(
    section: str,
    before: dict[str, Any],
    after: dict[str, Any],
    describe: Callable[[Any, Any], str],
) -> list[Difference]:
    """Return the differences between the entries of a section.

    Args:
        section: The name of the section.
        before: The entries of the version in force, by name.
        after: Those of the checked document.
        describe: Returns the difference between two entries.
    """
    removed = [name for name in before if name not in after]
    differences = [Difference(section, name, "removed", "") for name in removed]
    for name, entry in after.items():
        if name not in before:
            differences.append(Difference(section, name, "added", ""))
        elif entry != before[name]:
            detail = describe(before[name], entry)
            differences.append(Difference(section, name, "changed", detail))
    return differences


def _list_changed_fields(before: dict, after: dict) -> list[str]:
    fields = dict.fromkeys([*before, *after])
    return [field for field in fields if before.get(field) != after.get(field)]


def _describe_values(before: Any, after: Any) -> str:
    return f"{_show(before)} to {_show(after)}"


def _describe_change(before: dict, after: dict) -> str:
    return "; ".join(
        f"{field} {_describe_values(before.get(field), after.get(field))}"
        for field in _list_changed_fields(before, after)
    )


def _describe_tenant_change(before: dict, after: dict) -> str:
    """Return the difference between two tenants, without their keys."""
    parts = []
    for field in _list_changed_fields(before, after):
        if field == "ApiKeys":
            old, new = set(before[field]), set(after[field])
            text = f"{len(new - old)} keys added, {len(old - new)} removed"
        elif field in SHOWN_TENANT_FIELDS:
            text = _describe_values(before.get(field), after.get(field))
        else:
            text = "changed"
        parts.append(f"{field} {text}")
    return "; ".join(parts)
