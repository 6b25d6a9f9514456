"""Summaries of tables, by which two hosts find where their tables differ.

A table's entries are spread over buckets. The summary has one hash for each
bucket, the XOR of the hashes of its entries.
"""

from collections.abc import Hashable

from oleanderpier.utils import hash_text

__all__ = ["BUCKET_COUNT", "Summary", "find_bucket"]

BUCKET_COUNT = 16
HASH_MASK = (1 << 32) - 1


def find_bucket(name: str) -> int:
    """Return the bucket of a name, from 0 to ``BUCKET_COUNT - 1``.

    Examples:
        >>> 0 <= find_bucket("h1") < BUCKET_COUNT
        True
    """
    return hash_text(name) % BUCKET_COUNT


class Summary:
    """One hash for each bucket of a table, updated entry by entry.

    Examples:
        >>> one, two = Summary(), Summary()
        >>> one.replace_entry("h1", None, (1, 0))
        >>> one.replace_entry("h1", (1, 0), (1, 1))
        >>> two.replace_entry("h1", None, (1, 1))
        >>> one.list_hashes() == two.list_hashes()
        True
    """

    def __init__(self) -> None:
        self._hashes = [0] * BUCKET_COUNT

    def replace_entry(
        self, name: str, old: Hashable | None, new: Hashable | None
    ) -> None:
        """Replace the value of an entry in the summary.

        Args:
            name: The entry's name.
            old: The entry's present value, None if it has none.
            new: The new value, None to remove the entry. Its string form has
                to be the same on every host.
        """
        bucket = find_bucket(name)
        for value in (old, new):
            if value is not None:
                digest = hash_text(f"{name}|{value}") & HASH_MASK
                self._hashes[bucket] ^= digest

    def copy(self) -> "Summary":
        """Return an independent copy."""
        other = Summary()
        other._hashes = list(self._hashes)
        return other

    def list_hashes(self) -> list[int]:
        """Return the hash of each bucket, 32 bits each."""
        return list(self._hashes)

    def list_differences(self, hashes: list[int]) -> list[int]:
        """Return the buckets whose hashes differ from those of another table."""
        pairs = zip(self._hashes, hashes, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]
