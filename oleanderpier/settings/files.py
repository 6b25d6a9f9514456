"""Reads and validates settings files."""

from ipaddress import ip_address
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result

from oleanderpier.exception import SettingsError
from oleanderpier.results import Code, Failure
from oleanderpier.settings.schema import DEFAULT_LIMITS, Settings
from oleanderpier.utils import check_mapping

__all__ = ["check_settings", "fill_in_default_limits", "read_json", "read_settings"]

PORT_FIELDS = ("caller_port", "peer_port", "operator_port")


def read_json(path: str | Path) -> Any:
    """Return the decoded value of a JSON file.

    Raises:
        SettingsError: The file cannot be read or is not JSON.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes())
    except OSError as error:
        found = f"a file that cannot be read ({error.strerror})"
        raise SettingsError("$", found, "a JSON file") from error
    except msgspec.DecodeError as error:
        raise SettingsError("$", f"invalid JSON ({error})", "valid JSON") from error


def check_settings(value: Any) -> Settings:
    """Validate settings and fill in the defaults of missing limits.

    Args:
        value: The decoded JSON value.

    Raises:
        SettingsError: A field is unknown, missing or of the wrong type, or
            contradicts another field.
    """
    settings = fill_in_default_limits(check_mapping(Settings, value))
    _check_addresses(settings)
    _check_unique_ports(settings)
    _check_unique_seed_peers(settings)
    _check_drain_time(settings)
    return settings


def fill_in_default_limits(settings: Settings) -> Settings:
    """Return a copy of the settings with the defaults of missing limits.

    Args:
        settings: Settings that match the schema.

    Examples:
        >>> fill_in_default_limits({"limits": {"drain_s": 45.0}})["limits"]["drain_s"]
        45.0
        >>> fill_in_default_limits({})["limits"]["events_kept"]
        4096
    """
    limits = {**DEFAULT_LIMITS, **settings.get("limits", {})}
    return {**settings, "limits": limits}


def read_settings(path: str | Path) -> Result[Settings, Failure]:
    """Read and validate a settings file, and fill in default limits.

    Args:
        path: Path of the JSON file.

    Returns:
        The complete settings; or a failure with ``SETTINGS_INVALID`` whose
        text names the file, the field's path, what was found and what is
        allowed.
    """
    try:
        return Ok(check_settings(read_json(path)))
    except SettingsError as error:
        return Error(Failure(Code.SETTINGS_INVALID, f"{path}: {error}"))


def _check_addresses(settings: Settings) -> None:
    addresses = {
        "$.address": settings["address"],
        "$.platform.address": settings["platform"]["address"],
    }
    for index, peer in enumerate(settings["seed_peers"]):
        addresses[f"$.seed_peers[{index}].address"] = peer["address"]
    for path, address in addresses.items():
        try:
            ip_address(address)
        except ValueError as error:
            raise SettingsError(path, repr(address), "an IP address") from error


def _check_unique_ports(settings: Settings) -> None:
    ports = [settings[field] for field in PORT_FIELDS]
    for index, field in enumerate(PORT_FIELDS):
        if ports[index] in ports[:index]:
            raise SettingsError(f"$.{field}", str(ports[index]), "a unique port")


def _check_unique_seed_peers(settings: Settings) -> None:
    names = [peer["name"] for peer in settings["seed_peers"]]
    for index, name in enumerate(names):
        if name in names[:index]:
            path = f"$.seed_peers[{index}].name"
            raise SettingsError(path, repr(name), "a unique name")


def _check_drain_time(settings: Settings) -> None:
    limits = settings["limits"]
    if limits["drain_s"] < limits["address_keep_s"]:
        allowed = f"at least address_keep_s ({limits['address_keep_s']})"
        raise SettingsError("$.limits.drain_s", str(limits["drain_s"]), allowed)
