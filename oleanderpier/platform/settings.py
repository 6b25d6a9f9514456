"""Reads the settings file that ``deploy/settings.template`` renders."""

from pathlib import Path
from typing import Annotated, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from oleanderpier.connections import derive_bounds
from oleanderpier.entry import EntrySettings
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code, Failure
from oleanderpier.routing import BudgetLimits
from oleanderpier.utils import convert_mapping

__all__ = ["SETTINGS_VARIABLE", "read_entry_settings"]

# The environment variable with the path of the settings file.
SETTINGS_VARIABLE = "OLEANDERPIER_BOOT"
MILLISECONDS_PER_S = 1000.0

SocketAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]


class _ListenAddresses(TypedDict):
    Front: SocketAddress
    Ready: SocketAddress
    Control: SocketAddress
    Directory: SocketAddress


class _Platform(TypedDict):
    Address: SocketAddress


class _Bounds(TypedDict, total=False):
    GraceS: PositiveFloat
    RetryBudgetRatio: NonNegativeFloat
    RetrySlack: NonNegativeFloat
    BudgetWindowS: PositiveFloat
    # Upper bound of the time for which callers use an address list, in seconds.
    ttl_max_s: PositiveFloat
    # Limit on a server's load, as a multiple of the mean of its service.
    CapX: Annotated[float, msgspec.Meta(ge=1)]
    # Time within which evacuations take effect; absent or 0 if there are none.
    EvacuateMs: NonNegativeFloat | None
    # Time after which a host that is gone is out of contact.
    ContactMs: NonNegativeFloat | None
    # Time after which a server that leaves gets no requests.
    DrainMs: NonNegativeFloat | None


class _MachineLimits(TypedDict, total=False):
    MemoryMb: PositiveFloat
    MaxFds: PositiveFloat


class _PlatformFields(TypedDict):
    NodeName: str
    Zone: str
    Listen: _ListenAddresses
    Seeds: list[SocketAddress]
    Bounds: _Bounds
    Platform: _Platform
    # The region of this host, and of each failure domain.
    Region: NotRequired[str | None]
    Zones: NotRequired[dict[str, str] | None]
    # What the machine has for this process.
    Limits: NotRequired[_MachineLimits | None]


class _SettingsDocument(TypedDict):
    # Serves metrics; the platform's own fields have no such address.
    metrics_address: NotRequired[SocketAddress]
    # Whether requests wait for permits of the servers' owners, off by default.
    capacity_permits: NotRequired[bool]
    platform_fields: _PlatformFields


# Used for bounds that a deployment does not set: the strictest known of any
# deployment.
DEFAULT_BOUNDS = _Bounds(
    GraceS=8.0,
    RetryBudgetRatio=0.2,
    RetrySlack=50.0,
    BudgetWindowS=10.0,
    ttl_max_s=5.0,
    CapX=2.0,
)


def read_entry_settings(path: str | Path) -> Result[EntrySettings, Failure]:
    """Read and validate the settings file.

    Args:
        path: The JSON file. Unknown fields are ignored.

    Returns:
        The settings; or a failure with the code ``SETTINGS_INVALID`` whose text
        names the file, the path of the field, what was found and what is allowed.
    """
    try:
        value = msgspec.json.decode(Path(path).read_bytes())
        return Ok(_make_settings(convert_mapping(_SettingsDocument, value)))
    except OSError as error:
        text = f"{path}: {error}"
    except msgspec.DecodeError as error:
        text = f"{path}: $: found {error}, allowed JSON"
    except SettingsError as error:
        text = f"{path}: {error}"
    return Error(Failure(Code.SETTINGS_INVALID, text))


def _make_settings(file: _SettingsDocument) -> EntrySettings:
    fields = file["platform_fields"]
    bounds = {**DEFAULT_BOUNDS, **fields["Bounds"]}
    listen = fields["Listen"]
    limits = fields.get("Limits") or {}
    return EntrySettings(
        host=fields["NodeName"],
        failure_domain=fields["Zone"],
        caller_address=listen["Front"],
        ready_address=listen["Ready"],
        peer_address=listen["Control"],
        directory_address=listen["Directory"],
        metrics_address=file.get("metrics_address"),
        platform_address=fields["Platform"]["Address"],
        seeds=tuple(fields["Seeds"]),
        grace_s=bounds["GraceS"],
        budget=BudgetLimits(
            bounds["RetryBudgetRatio"], bounds["RetrySlack"], bounds["BudgetWindowS"]
        ),
        longest_keep_s=bounds["ttl_max_s"],
        load_limit_factor=bounds["CapX"],
        evacuate_s=_convert_ms(bounds.get("EvacuateMs")),
        contact_s=_convert_ms(bounds.get("ContactMs")),
        server_leave_s=_convert_ms(bounds.get("DrainMs")),
        regions=tuple(_list_regions(fields).items()),
        capacity_permits=file.get("capacity_permits", False),
        caller_bounds=derive_bounds(limits.get("MemoryMb"), limits.get("MaxFds")),
    )


def _convert_ms(value: float | None) -> float | None:
    """Return a bound in seconds, None if it is absent or 0."""
    return value / MILLISECONDS_PER_S if value else None


def _list_regions(fields: _PlatformFields) -> dict[str, str]:
    """Return the region of each failure domain that the settings name."""
    own = {fields["Zone"]: region} if (region := fields.get("Region")) else {}
    return {**own, **(fields.get("Zones") or {})}
