"""Reads the platform's settings file, as ``deploy/settings.template`` renders it."""

from pathlib import Path
from typing import Annotated, NotRequired, TypedDict

import msgspec
from expression import Error, Ok, Result

from oleanderpier.entry import EntrySettings
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code, Failure
from oleanderpier.routing import BudgetLimits
from oleanderpier.utils import convert_mapping

__all__ = ["SETTINGS_VARIABLE", "read_entry_settings"]

# The environment variable that holds the file's path.
SETTINGS_VARIABLE = "OLEANDERPIER_BOOT"

SocketAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$")
]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Share = Annotated[float, msgspec.Meta(ge=0)]


class _Listen(TypedDict):
    Front: SocketAddress
    Ready: SocketAddress
    Control: SocketAddress
    Directory: SocketAddress


class _Platform(TypedDict):
    Address: SocketAddress


class _Bounds(TypedDict, total=False):
    GraceS: Positive
    RetryBudgetRatio: Share
    RetrySlack: Share
    BudgetWindowS: Positive
    # Longest time, in seconds, for which callers keep addresses.
    ttl_max_s: Positive


class _Fields(TypedDict):
    NodeName: str
    Zone: str
    Listen: _Listen
    Seeds: list[SocketAddress]
    Bounds: _Bounds
    Platform: _Platform


class _File(TypedDict):
    # Where metrics are served; the platform's own fields hold no such address.
    metrics_address: NotRequired[SocketAddress]
    platform_fields: _Fields


# Used where a deployment has no such bound; the strictest ones seen.
DEFAULT_BOUNDS = _Bounds(
    GraceS=8.0,
    RetryBudgetRatio=0.2,
    RetrySlack=50.0,
    BudgetWindowS=10.0,
    ttl_max_s=5.0,
)


def read_entry_settings(path: str | Path) -> Result[EntrySettings, Failure]:
    """Read and check the settings file.

    Args:
        path: The JSON file; fields that are not known here are ignored.

    Returns:
        The settings; or a failure with ``SETTINGS_INVALID`` whose text names
        the file, the field's path, what was found and what is allowed.
    """
    try:
        value = msgspec.json.decode(Path(path).read_bytes())
        return Ok(_translate(convert_mapping(_File, value)))
    except OSError as error:
        text = f"{path}: {error}"
    except msgspec.DecodeError as error:
        text = f"{path}: $: found {error}, allowed JSON"
    except SettingsError as error:
        text = f"{path}: {error}"
    return Error(Failure(Code.SETTINGS_INVALID, text))


def _translate(file: _File) -> EntrySettings:
    fields = file["platform_fields"]
    bounds = {**DEFAULT_BOUNDS, **fields["Bounds"]}
    listen = fields["Listen"]
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
    )
