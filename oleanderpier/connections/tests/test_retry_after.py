"""Tests of the values of ``Retry-After``."""

from testtools import TestCase

from oleanderpier.connections import MAX_RETRY_AFTER_S, RetryAfter, parse_retry_after

DATE_UNIX_S = 784_111_777.0
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"


class RetryAfterTest(TestCase):
    """A value states a bounded time, or it is ignored and named."""

    def test_values(self):
        """Each form gives a time and what is to be logged."""
        cases = [
            (["2"], 2.0, ""),
            (["0.25"], 0.25, ""),
            ([" 1 "], 1.0, ""),
            (["0"], 0.0, ""),
            (["-3"], None, "-3"),
            (["86400"], MAX_RETRY_AFTER_S, "86400"),
            (["soon"], None, "soon"),
            ([""], None, ""),
            (["nan"], None, "nan"),
            (["inf"], None, "inf"),
            (["1", "3"], 3.0, ""),
            (["soon", "3"], 3.0, "soon"),
            ([DATE], 4.0, ""),
            ([], None, ""),
        ]
        for values, wait_s, ignored in cases:
            self.assertEqual(
                RetryAfter(wait_s, ignored),
                parse_retry_after(values, DATE_UNIX_S - 4.0),
                values,
            )

    def test_date_in_the_past_states_no_time(self):
        """It is named, since no server would send it."""
        self.assertEqual(
            RetryAfter(None, DATE), parse_retry_after([DATE], DATE_UNIX_S + 1.0)
        )
