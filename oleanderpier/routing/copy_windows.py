"""For how long caches may still be copied from servers of evacuated failure domains.

The module addresses this load pattern: an operator evacuates a failure domain, and all
prompts that its servers have cached are requested at the others within a few seconds.
Without copies each of them is prefilled again.

The operators' bound counts from the time at which the store acknowledged the
evacuation, which a host does not know. It counts its window from the time at which it
learned of the evacuation, and opens none if that may have been late.
"""

from collections.abc import Callable

__all__ = ["COPY_WINDOW_RATIO", "CopyWindows"]

# Part of the time within which evacuations take effect. The rest covers the time until
# a host learns of the evacuation.
COPY_WINDOW_RATIO = 0.5


class CopyWindows:
    """Until when copies from each evacuated failure domain are allowed.

    Args:
        evacuate_s: Time within which evacuations take effect, in seconds.
        learns_promptly: Returns whether this host learns now of what the store has
            acknowledged a moment ago.

    Examples:
        >>> windows = CopyWindows(5.0, lambda: True)
        >>> windows.open("duluth", now_s=10.0)
        >>> windows.is_open("duluth", 12.4)
        True
        >>> windows.is_open("duluth", 12.5)
        False
    """

    def __init__(
        self, evacuate_s: float, learns_promptly: Callable[[], bool] = lambda: True
    ) -> None:
        self._window_s = COPY_WINDOW_RATIO * evacuate_s
        self._learns_promptly = learns_promptly
        self._until_s: dict[str, float] = {}

    def open(self, domain: str, now_s: float) -> None:
        """Allow copies from a domain for a while, if it was learned of promptly.

        Args:
            domain: The failure domain.
            now_s: When this host learned of its evacuation.
        """
        if self._learns_promptly():
            self._until_s[domain] = now_s + self._window_s

    def close(self, domain: str) -> None:
        """Forget the window of a domain whose evacuation has ended."""
        self._until_s.pop(domain, None)

    def is_open(self, domain: str, now_s: float) -> bool:
        """Return whether copies from an evacuated domain are allowed."""
        until_s = self._until_s.get(domain)
        return until_s is not None and now_s < until_s
