"""Tests of servers that crash at the same time, in all orders of the reports."""

from itertools import permutations, product

from testtools import TestCase

from oleanderpier.routing import CrashCauses, SuspectKeys
from oleanderpier.routing.crashes import SIMULTANEOUS_S
from oleanderpier.routing.poison import ANSWERED_TERM_S, REVIEW_S

CRASHING = ("own", "bad")
REVIEW_INTERVAL_S = 0.2


def find_blamed(
    crashes: list[list[SuspectKeys]], goes_on: bool, answered: SuspectKeys = ()
) -> set[str]:
    """Return what is refused after servers crashed at the same time.

    Args:
        crashes: The suspects of each server's crash.
        goes_on: Whether another server of the failure domain goes on.
        answered: Keys that were answered before.
    """

    def has_survivor(identity: str, crashed, at_s: float) -> bool:
        return goes_on

    poison = CrashCauses(0, has_survivor)
    poison.record_sound(answered, 0.0)
    for number, suspects in enumerate(crashes):
        at_s = 1.0 + number * SIMULTANEOUS_S / 20
        poison.record_crash(f"s{number}", 1, at_s, suspects)
    for step in range(round(2 * REVIEW_S / REVIEW_INTERVAL_S)):
        poison.review_crashes(1.0 + step * REVIEW_INTERVAL_S)
    return {quarantine.key for quarantine in poison.list_quarantines()}


def make_crashing(number: int) -> SuspectKeys:
    """Return the keys of a request that crashes servers; no two are alike."""
    return (f"first{number}", "bad", f"request:{number}")


def make_sound(number: int) -> SuspectKeys:
    """Return the keys of another request."""
    return (f"first{number}", "good", f"request:sound{number}")


class SimultaneousCrashesTest(TestCase):
    """Servers end at once: under requests with one part, or with their domain."""

    def test_part_that_crashes_several_servers_at_once_is_refused(self):
        """Guards against counting the crashes on several requests at once as one."""
        for count in range(3, 13):
            crashes = [[make_crashing(number)] for number in range(count)]
            self.assertEqual({"bad"}, find_blamed(crashes, goes_on=True), count)

    def test_request_that_many_send_at_once_and_nobody_gets_answered_is_refused(self):
        """It has no prompt."""
        crashes = [[("request:same",)] for _ in range(3)]
        self.assertEqual({"request:same"}, find_blamed(crashes, goes_on=True))

    def test_part_that_crashes_all_servers_of_a_domain_is_refused(self):
        """The requests were sent again to the last two servers, which ended, too."""
        crashes = [[make_crashing(number)] for number in range(4)]
        crashes += [[(*make_crashing(number), f"resend:{number}")] for number in (0, 1)]
        self.assertIn("bad", find_blamed(crashes, goes_on=False))

    def test_refusal_for_simultaneous_crashes_alone_is_short(self):
        """Many may send a sound request, also one that was not answered yet."""
        for suspect in (("request:hot",), ("own", "part", "request:own")):
            poison = CrashCauses(0, lambda identity, crashed, at_s: True)
            for number in range(4):
                poison.record_crash(f"s{number}", 1, 1.0, [suspect])
            (quarantine,) = poison.review_crashes(1.2)
            self.assertEqual(ANSWERED_TERM_S, quarantine.term_s)

    def test_failure_domain_that_ends_blames_nothing(self):
        """Whatever its servers were working on."""
        for count in range(1, 13):
            crashes = [[make_crashing(number)] for number in range(count)]
            self.assertEqual(set(), find_blamed(crashes, goes_on=False), count)

    def test_part_that_is_not_in_each_crash_is_not_refused(self):
        """The servers ended for another reason, such as the end of a machine."""
        crashes = [[make_crashing(number)] for number in range(6)]
        crashes.append([make_sound(0)])
        self.assertEqual(set(), find_blamed(crashes, goes_on=True))

    def test_answered_part_of_simultaneous_crashes_is_not_refused(self):
        """A part that many use is in progress at most servers."""
        crashes = [[make_crashing(number)] for number in range(12)]
        self.assertEqual(set(), find_blamed(crashes, goes_on=True, answered=("bad",)))

    def test_all_orders_of_reports_of_two_hosts_blame_the_same(self):
        """Of up to four crashes on three requests, of which some have the part.

        What was in fewer than three is not refused; if something was in all, part of it
        is.
        """
        requests = [make_crashing(0), make_crashing(1), make_sound(2)]
        for count in (3, 4):
            for placed in product(requests, repeat=count):
                reports = list(enumerate(placed))
                keys = set().union(*placed)
                in_three = {
                    key for key in keys if sum(key in each for each in placed) >= 3
                }
                in_all = {key for key in keys if all(key in each for each in placed)}
                for order in permutations(reports):
                    found = self.find_blamed_in_order(order)
                    self.assertLessEqual(found, in_three, order)
                    if in_all:
                        self.assertNotEqual(set(), found, order)

    def find_blamed_in_order(self, reports) -> set[str]:
        """Return what is refused if each crash is reported by two hosts in an order.

        One host had the request that is named, the other one a sound one at the first
        of these servers.
        """

        def has_survivor(identity: str, crashed, at_s: float) -> bool:
            return True

        poison = CrashCauses(0, has_survivor)
        for number, suspect in reports:
            at_s = 1.0 + number * SIMULTANEOUS_S / 20
            poison.record_crash(f"s{number}", 1, at_s, [suspect])
            if number == 0:
                other = (*suspect[:1], "beside", "request:beside")
                poison.record_crash(f"s{number}", 1, at_s, [other])
            poison.review_crashes(at_s + REVIEW_INTERVAL_S)
        poison.review_crashes(1.0 + 2 * REVIEW_INTERVAL_S)
        return {quarantine.key for quarantine in poison.list_quarantines()}
