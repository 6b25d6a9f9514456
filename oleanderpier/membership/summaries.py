"""Short hashes of a table, by which two hosts find where theirs differ."""

from collections.abc import Hashable

from oleanderpier.utils import hash_text

__all__ = ["BUCKET_COUNT", "Summary", "find_bucket"]

BUCKET_COUNT = 16
HASH_MASK = (1 << 32) - 1


def find_bucket(name: str) -> int:
    """Return the bucket into which a name falls, from 0 to ``BUCKETS - 1``.

    Examples:
        >>> 0 <= find_bucket("h1") < BUCKETS
        True
    """
    return hash_text(name) % BUCKET_COUNT


class Summary:
    """One hash for each bucket of a table, kept up to date entry by entry.

    Examples:
        >>> one, two = Summary(), Summary()
        >>> one.replace("h1", None, (1, 0))
        >>> one.replace("h1", (1, 0), (1, 1))
        >>> two.replace("h1", None, (1, 1))
        >>> one.list_hashes() == two.list_hashes()
        True
    """

    def __init__(self) -> None:
        self._hashes = [0] * BUCKET_COUNT

    def replace_entry(
        self, name: str, old: Hashable | None, new: Hashable | None
    ) -> None:
        """Replace what a name's entry is compared by.

        Args:
            name: The name.
            old: What was put before; None for nothing.
            new: What two hosts compare, written alike on both; None for
                nothing.
        """
        bucket = find_bucket(name)
        for compared in (old, new):
            if compared is not None:
                digest = hash_text(f"{name}|{compared}") & HASH_MASK
                self._hashes[bucket] ^= digest

    def copy(self) -> "Summary":
        """Return a summary of the same table."""
        other = Summary()
        other._hashes = list(self._hashes)
        return other

    def list_hashes(self) -> list[int]:
        """Return the hash of each bucket, 32 bits each."""
        return list(self._hashes)

    def list_differences(self, hashes: list[int]) -> list[int]:
        """Return the buckets in which another table's hashes differ."""
        pairs = zip(self._hashes, hashes, strict=False)
        return [index for index, (own, other) in enumerate(pairs) if own != other]
