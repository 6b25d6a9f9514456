"""Replays one request that crashes servers, over many hosts, in virtual time."""

from testtools import TestCase

from oleanderpier.entry.tests.test_crash_patterns import (
    BAD,
    CRASH_S,
    TOLERATED_ARRIVALS,
    CrashReplay,
)
from oleanderpier.routing import REQUEST_KEY_PREFIX, make_resend_mark

REQUEST = f"{REQUEST_KEY_PREFIX}bad"
# The users' bound counts from this crash on.
TOLERATED_CRASHES = 3
PAYOUT_SERVERS = 3


class _RequestReplay(CrashReplay):
    """The bad request is always the same, and is sent again after its first crash."""

    def _send_sound(self) -> None:
        key = f"{REQUEST_KEY_PREFIX}{next(self._numbers)}"
        self._send("sound", (f"first{self._rng.randrange(3)}", key))

    def _send_bad(self) -> None:
        self._send(BAD, (REQUEST,))

    def _crash_on(self, server: int, number: int) -> None:
        request = self._in_flight[server].get(number)
        super()._crash_on(server, number)
        # At most two servers for each request.
        if request is None or number in self._resent:
            return
        host = request[0]
        if self.fleet.poison[host].may_retry((REQUEST,)):
            sent = set().union(*self._in_flight)
            self._send(BAD, (REQUEST, make_resend_mark(REQUEST)), host)
            self._resent |= set().union(*self._in_flight) - sent


class RequestPatternTest(TestCase):
    """The request is refused everywhere after its third crash, and it alone."""

    def test_one_request_crashes_few_servers(self):
        """It comes at any host, five times a second, at three sizes of the fleet."""
        for hosts, servers in ((7, PAYOUT_SERVERS), (78, 78), (300, 78)):
            replay = _RequestReplay(hosts, servers=servers)
            replay.run(20.0, bad_from_s=2.0, bad_per_s=5.0)
            late = replay.count_late(TOLERATED_CRASHES)
            self.assertLessEqual(late, TOLERATED_ARRIVALS, hosts)
            self.assertGreater(replay.refused[BAD], 50, hosts)

    def test_others_are_served(self):
        """None of them is refused, though they were in flight at servers that ended."""
        replay = _RequestReplay(78)
        replay.run(20.0, bad_from_s=2.0, bad_per_s=5.0)
        self.assertEqual(0, replay.refused["sound"])
        self.assertLessEqual(replay.crashes[BAD], TOLERATED_CRASHES + 2)

    def test_request_is_found_among_other_crashes(self):
        """A server crashes for another reason twice a second."""
        replay = _RequestReplay(78, random_crashes_per_s=2.0)
        replay.run(20.0, bad_from_s=2.0, bad_per_s=2.0)
        self.assertLessEqual(replay.count_late(TOLERATED_CRASHES), TOLERATED_ARRIVALS)
        self.assertEqual(0, replay.refused["sound"])

    def test_late_crashes_by_requests_in_flight_are_few(self):
        """Many send it at the same time."""
        replay = _RequestReplay(78)
        replay.run(10.0, bad_from_s=2.0, bad_per_s=1.0 / CRASH_S)
        self.assertLessEqual(replay.count_late(TOLERATED_CRASHES), TOLERATED_ARRIVALS)
