"""The JSON form of a failure in HTTP response bodies."""

from typing import TypedDict

from oleanderpier.results.codes import Failure, describe_code

__all__ = ["RefusalBody", "make_refusal_body"]


class RefusalBody(TypedDict):
    """The JSON form of a failure.

    Attributes:
        code: Number of the result code.
        name: Name of the result code.
        fate: Whether the request was run, a value of ``Fate``.
        text: One sentence that describes the cause.
        retry_after_s: Seconds after which a retry may succeed; None if a retry
            is useless.
    """

    code: int
    name: str
    fate: str
    text: str
    retry_after_s: float | None


def make_refusal_body(failure: Failure) -> RefusalBody:
    """Return the JSON form of a failure.

    The meaning of its code replaces an empty text.

    Examples:
        >>> from oleanderpier.results import Code
        >>> make_refusal_body(Failure(Code.KEY_VOID, ""))["text"]
        'This key was given up for good; use a new key.'
    """
    entry = describe_code(failure.code)
    return RefusalBody(
        code=int(failure.code),
        name=failure.code.name,
        fate=entry.fate.value,
        text=failure.text or entry.meaning,
        retry_after_s=failure.retry_after_s,
    )
