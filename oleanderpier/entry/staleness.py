"""Decides whether a failed lookup in the configuration may be believed."""

from expression import Error, Result

from oleanderpier.results import Code, Failure

__all__ = ["convert_if_stale"]

# An older configuration may have been replaced. The limit is above the time for
# which the platform holds a watch call.
MAX_CONFIGURATION_AGE_S = 4.0


def convert_if_stale(result: Result, age_s: float) -> Result:
    """Replace the failure of a lookup by ``VIEW_STALE`` if it may be outdated.

    A newer configuration may have the route or workspace, so the caller should retry at
    another host.

    Args:
        result: The result of the lookup.
        age_s: The seconds since the configuration was known to be the newest.
    """
    if result.is_ok() or age_s <= MAX_CONFIGURATION_AGE_S:
        return result
    text = f"{result.error.text}; configuration confirmed {age_s:.1f} s ago"
    return Error(Failure(Code.VIEW_STALE, text, 0.0))
