"""Tests of the checks: each can fail, and each lets what is allowed pass."""

from testtools import TestCase

from soak.checks import CHAT_EVENTS, find_breaches
from soak.evidence import Attempt, Evidence, Happened, Leave, Run
from soak.schedule import FaultKind

CALM_S = 20.0
EVENTS = "".join(f"id: {n}\ndata: t{n}\n\n" for n in range(1, CHAT_EVENTS + 1))
SERVED = Attempt("r1", "payout", "k", 0, 33.0, 33.1, 200, "s1 ran r1", True)
RUN = Run("r1", "s1", 33.05)


def find(**changes) -> list[str]:
    """Return which promises are broken where a sound run is changed."""
    sound = Evidence([SERVED], [RUN], [], [], [], [(0, 0, 5.0)], CALM_S)
    return [finding.promise for finding in find_breaches(sound._replace(**changes))]


class ChecksTest(TestCase):
    """One broken promise after the other is found."""

    def test_sound(self):
        """Nothing is found in a sound run."""
        self.assertEqual([], find())

    def test_ran_twice(self):
        """Two runs of a payout."""
        self.assertEqual(["at_most_once"], find(runs=[RUN, RUN._replace(server="s2")]))

    def test_false_refusal(self):
        """A refusal that promises what is not so; a lost answer promises nothing."""
        refused = SERVED._replace(sent_s=5.0, ended_s=5.1, status=503)
        self.assertEqual(["not_run"], find(attempts=[refused, SERVED]))
        lost = refused._replace(status=502)
        self.assertEqual([], find(attempts=[lost, SERVED]))

    def test_spoilt_answers(self):
        """Another's answer, and streams with a gap or a repeated event."""
        other = SERVED._replace(body="s1 ran r2")
        self.assertEqual(["whole_answer"], find(attempts=[other]))
        chat = SERVED._replace(kind="chat", body=EVENTS)
        self.assertEqual([], find(attempts=[chat]))
        for old, new in (("id: 3\n", "id: 2\n"), ("id: 3\ndata: t3\n\n", "")):
            spoilt = chat._replace(body=EVENTS.replace(old, new))
            self.assertEqual(["whole_answer"], find(attempts=[spoilt]))

    def test_leaving_server(self):
        """A run after the bound counts, unless the store was away before it."""
        leaves = [Leave("s1", 30.0)]
        self.assertEqual(["drained_server"], find(leaves=leaves))
        away = Happened(FaultKind.STORE_REFUSES, 28.0, 31.0, -1)
        self.assertEqual([], find(leaves=leaves, faults=[away]))

    def test_revoked_key(self):
        """A credential that still works after the bound."""
        self.assertEqual(["revoked_key"], find(revoked=[Leave("k", 30.0)]))
        self.assertEqual([], find(revoked=[Leave("k", 32.0)]))

    def test_cut_by_a_shutdown(self):
        """A request that ended with its host, which was told to end."""
        cut = SERVED._replace(sent_s=9.0, ended_s=10.1, status=0, whole=False)
        told = Happened(FaultKind.HOST_TERMINATED, 10.0, 11.0, 0)
        attempts = [cut, SERVED]
        self.assertEqual(["graceful_shutdown"], find(attempts=attempts, faults=[told]))
        killed = Happened(FaultKind.ALL_KILLED, 8.0, 11.0, -1)
        self.assertEqual([], find(attempts=attempts, faults=[told, killed]))

    def test_held_request(self):
        """No final answer at the route's time-out."""
        held = SERVED._replace(sent_s=5.0, ended_s=16.0, status=504)
        self.assertEqual(["final_answer"], find(attempts=[held, SERVED]))

    def test_no_recovery(self):
        """A failure long after the last fault, or no request at all."""
        failed = SERVED._replace(status=503, identity="r2")
        self.assertEqual(["recovery"], find(attempts=[SERVED, failed]))
        self.assertEqual(["recovery"], find(attempts=[]))

    def test_own_end(self):
        """A process that ended with a status nobody caused."""
        self.assertEqual(["exit"], find(exits=[(0, 1, 5.0)]))
        killed = Happened(FaultKind.HOST_KILLED, 4.9, 6.0, 0)
        self.assertEqual([], find(exits=[(0, -9, 5.0)], faults=[killed]))
