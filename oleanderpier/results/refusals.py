"""The JSON form in which others are told of a failure."""

from typing import TypedDict

from oleanderpier.results.codes import Failure, describe_code

__all__ = ["RefusalBody", "make_refusal_body"]


class RefusalBody(TypedDict):
    """A failure in an answer.

    Attributes:
        fate: What is known of the request, a value of ``Fate``.
        retry_after_s: When to come back, in seconds; None if there is no use.
    """

    code: int
    name: str
    fate: str
    text: str
    retry_after_s: float | None


def make_refusal_body(failure: Failure) -> RefusalBody:
    """Return the JSON form of a failure; its code's meaning stands for no text.

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
