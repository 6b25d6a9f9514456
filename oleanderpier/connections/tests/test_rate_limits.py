"""Tests of the values of a limit on requests per second."""

from testtools import TestCase

from oleanderpier.connections import RateLimit, parse_rate_limit


class RateLimitTest(TestCase):
    """A value states a limit, or it is ignored and named."""

    def test_values(self):
        """Each form gives a limit and what is to be logged."""
        cases = [
            (["2"], 2.0, ""),
            (["0.25"], 0.25, ""),
            ([" 1.5 "], 1.5, ""),
            (["0"], 0.0, ""),
            (["-1"], None, "-1"),
            (["few"], None, "few"),
            ([""], None, ""),
            (["nan"], None, "nan"),
            (["inf"], None, "inf"),
            (["3", "2"], 2.0, ""),
            (["few", "2"], 2.0, "few"),
            ([], None, ""),
        ]
        for values, per_s, ignored in cases:
            self.assertEqual(
                RateLimit(per_s, ignored), parse_rate_limit(values), values
            )
