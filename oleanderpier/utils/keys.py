"""Idempotency keys: UUIDs of version 7, which start with a time stamp.

References:
    RFC 9562, "Universally Unique IDentifiers (UUIDs)", section 5.7.
"""

import random
import uuid

__all__ = ["make_key", "pack_key", "read_key_time", "unpack_key"]

KEY_VERSION = 7
RANDOM_BITS = 80
VERSION_SHIFT = 76
VERSION_MASK = 0xF << VERSION_SHIFT
VARIANT_SHIFT = 62
VARIANT_MASK = 0x3 << VARIANT_SHIFT


def pack_key(key: str) -> bytes | None:
    """Return a key's 16 bytes, or None if it is not a UUID of version 7.

    All text forms of a UUID (upper case, braces) give the same bytes.

    Examples:
        >>> pack_key("018bcfe5-6800-7000-8000-0000000000AB").hex()[-2:]
        'ab'
        >>> pack_key("none") is None
        True
    """
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.variant != uuid.RFC_4122 or value.version != KEY_VERSION:
        return None
    return value.bytes


def unpack_key(packed: bytes) -> str:
    """Return the canonical text form of a key's 16 bytes."""
    return str(uuid.UUID(bytes=packed))


def read_key_time(key: str | bytes) -> float | None:
    """Return when a key was generated.

    Args:
        key: The key's text, or the 16 bytes that ``pack_key`` returns.

    Returns:
        Seconds since 1970, with a resolution of a millisecond; None if the
        text is not a UUID of version 7.

    Examples:
        >>> read_key_time("018bcfe5-6800-7000-8000-000000000000")
        1700000000.0
    """
    packed = pack_key(key) if isinstance(key, str) else key
    if packed is None:
        return None
    return int.from_bytes(packed[:6], "big") / 1000.0


def make_key(wall_s: float, generator: random.Random) -> str:
    """Generate a key.

    Args:
        wall_s: The wall clock in seconds since 1970.
        generator: Generates the 74 random bits.

    Examples:
        >>> read_key_time(make_key(1_700_000_000.25, random.Random(1)))
        1700000000.25
    """
    value = round(wall_s * 1000) << RANDOM_BITS | generator.getrandbits(RANDOM_BITS)
    value = value & ~VERSION_MASK | KEY_VERSION << VERSION_SHIFT
    value = value & ~VARIANT_MASK | 1 << VARIANT_SHIFT + 1
    return str(uuid.UUID(int=value))
