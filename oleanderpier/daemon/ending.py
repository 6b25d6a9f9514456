"""The failure of a request that this host ends as it stops.

It answers this load pattern: a planned stop while requests need longer than the drain.
"""

from oleanderpier.results import Code, Failure

__all__ = ["make_end_failure"]

RETRY_AFTER_S = 1.0


def make_end_failure(may_have_run: bool) -> Failure:
    """Return the failure of a request that this host ends as it stops.

    Args:
        may_have_run: Whether the request may have been sent.
    """
    if may_have_run:
        return Failure(Code.ANSWER_LOST, "this host stops", RETRY_AFTER_S)
    return Failure(Code.HOST_LEAVING, "", 0.0)
