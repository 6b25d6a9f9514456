"""Tests of the search for prompt parts that crash servers."""

import random

from testtools import TestCase

from oleanderpier.routing import CrashCauses, Quarantine
from oleanderpier.routing.crashes import (
    MAX_CRASH_KEYS,
    MAX_CRASHES,
    MAX_KEYS,
    MAX_SUSPECTS,
    CrashLog,
)
from oleanderpier.routing.poison import (
    ANSWERED_FACTOR,
    ANSWERED_TERM_S,
    APART_TERM_S,
    FIRST_TERM_S,
    MAX_QUARANTINES,
    MAX_TERM_S,
    MIN_ANSWERS,
    QUARANTINE_CRASHES,
    TRIAL_S,
    UNUSED_KEPT_S,
)

PROMPT = ("all", "some", "bad")


def never(part: str) -> bool:
    """Return that this host tries no part."""
    return False


def always(part: str) -> bool:
    """Return that this host tries all parts."""
    return True


def make_poison(*sound: str, crashes: int = QUARANTINE_CRASHES) -> CrashCauses:
    """Return the state after some crashes, one a second from 1 s on.

    Args:
        sound: Parts that were in a whole response before.
        crashes: The number of crashes with the suspect ``PROMPT``.
    """
    poison = CrashCauses()
    poison.record_sound(sound, 0.0)
    for number in range(crashes):
        poison.record_crash(f"s{number}", 1, 1.0 + number, [PROMPT])
    return poison


def list_parts(poison: CrashCauses) -> list[str]:
    """Return the quarantined parts."""
    return sorted(each.key for each in poison.list_quarantines())


class NewHostTest(TestCase):
    """A host that has just started has not seen which parts are answered."""

    def find_term_s(self, answers: int) -> float:
        """Return the first term of a part after some answers without it."""
        poison = CrashCauses(MIN_ANSWERS)
        for number in range(answers):
            poison.record_answer(("other",), 0.01 * number)
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"s{number}", 1, 1.0 + number, [PROMPT])
        return poison.list_quarantines()[0].term_s

    def test_parts_are_tried_soon_at_first(self):
        """Common ones may be among them."""
        self.assertEqual(ANSWERED_TERM_S, self.find_term_s(MIN_ANSWERS - 1))
        self.assertEqual(FIRST_TERM_S, self.find_term_s(MIN_ANSWERS))

    def test_term_of_a_host_that_knows_more_is_kept(self):
        """Another host has the same crashes, and repeats its quarantine."""
        poison = make_poison("all", "some")
        theirs = Quarantine("bad", 3.01, ANSWERED_TERM_S, frozenset(["bad"]))
        poison.receive_quarantine(theirs)
        self.assertEqual(FIRST_TERM_S, poison.list_quarantines()[0].term_s)


class QuarantineTest(TestCase):
    """A part is quarantined when it is the most likely cause of some crashes."""

    def test_part_that_was_never_answered_is_quarantined(self):
        """Parts that sound requests share with it are not."""
        poison = make_poison("all", "some")
        self.assertEqual(["bad"], list_parts(poison))

    def test_fewer_crashes_quarantine_nothing(self):
        """Two crashes may be a coincidence; but the request is not sent again."""
        poison = make_poison("all", "some", crashes=QUARANTINE_CRASHES - 1)
        self.assertEqual([], list_parts(poison))
        self.assertFalse(poison.may_retry(PROMPT))
        self.assertTrue(make_poison(crashes=1).may_retry(PROMPT))
        # All parts were answered before.
        self.assertTrue(make_poison(*PROMPT, crashes=3).may_retry(PROMPT))
        self.assertFalse(make_poison(*PROMPT, crashes=4).may_retry(PROMPT))

    def test_response_between_crashes_clears_its_parts(self):
        """Only crashes since the last whole response count."""
        poison = make_poison(crashes=QUARANTINE_CRASHES - 1)
        self.assertEqual(["all"], poison.record_sound(("all", "new"), 2.4))
        self.assertEqual(["some"], poison.record_sound(("all", "some"), 2.5))
        poison.record_crash("s9", 1, 3.0, [PROMPT])
        self.assertEqual(["bad"], list_parts(poison))

    def test_part_that_used_to_be_answered_is_quarantined(self):
        """So it is after a change of the engines, after more crashes and for less."""
        poison = CrashCauses()
        poison.record_sound(PROMPT, 0.0)
        for number in range(ANSWERED_FACTOR * QUARANTINE_CRASHES):
            self.assertEqual([], list_parts(poison))
            poison.record_sound(("all", "some"), 0.5 + number)
            poison.record_crash(f"s{number}", 1, 1.0 + number, [PROMPT])
        (quarantine,) = poison.list_quarantines()
        self.assertEqual(("bad", ANSWERED_TERM_S), (quarantine.key, quarantine.term_s))

    def test_popular_part_in_crashes_on_another_is_not_quarantined(self):
        """Most servers are down, so that it is not answered in between."""
        poison = CrashCauses()
        poison.record_sound(("popular",), 0.0)
        poison.record_crash("s0", 1, 1.0, [("popular", "bad")])
        poison.record_crash("s1", 1, 2.0, [("popular", "bad")])
        poison.record_crash("s2", 1, 3.0, [("popular",)])
        self.assertEqual([], list_parts(poison))
        poison.record_crash("s3", 1, 4.0, [("popular", "bad")])
        self.assertEqual(["bad"], list_parts(poison))

    def test_simultaneous_crashes_count_once(self):
        """Servers of one machine end together, whatever they work on."""
        poison = CrashCauses()
        for number in range(9):
            poison.record_crash(f"s{number}", 1, 1.0 + 0.001 * number, [PROMPT])
        self.assertEqual([], list_parts(poison))

    def test_reports_of_one_crash_count_once(self):
        """Each host reports its own suspects."""
        poison = CrashCauses()
        for number in range(9):
            poison.record_crash("s1", 1, 1.0 + 0.2 * number, [("all", f"own{number}")])
        self.assertEqual([], list_parts(poison))

    def test_server_that_crashes_again_counts_again(self):
        """Its new start may not be known yet."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash("s1", 1, 1.0 + 3.0 * number, [PROMPT])
        self.assertIn("bad", list_parts(poison))

    def test_bystanders_are_not_quarantined(self):
        """Requests that wait at the servers meanwhile differ from crash to crash."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            at_s = 1.0 + number
            poison.record_sound(("all",), at_s - 0.5)
            bystanders = [("all", f"p{number}-{each}") for each in range(20)]
            poison.record_crash(f"s{number}", 1, at_s, [PROMPT, *bystanders])
        self.assertEqual(["bad", "some"], list_parts(poison))

    def test_crash_on_known_cause_says_nothing_about_others(self):
        """The servers crash on the quarantined part, not on what waits beside it."""
        poison = make_poison("all", "some")
        for number in range(5):
            crash = (f"t{number}", 1, 5.0 + number)
            poison.record_crash(*crash, [("all", "next")])
            poison.record_crash(*crash, [PROMPT])
        self.assertEqual(["bad"], list_parts(poison))

    def test_second_cause_is_found_beside_the_first(self):
        """Crashes without the first one count."""
        poison = make_poison("all", "some")
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"t{number}", 1, 5.0 + number, [("all", "worse")])
        self.assertEqual(["bad", "worse"], list_parts(poison))

    def test_random_crashes_quarantine_nothing(self):
        """A tenth of the servers crash again and again, whatever they work on."""
        rng = random.Random(1)
        poison = CrashCauses()
        for number in range(400):
            now_s = 0.25 * number
            waiting = [
                (f"first{rng.randrange(3)}", f"p{rng.randrange(300)}")
                for _ in range(10)
            ]
            poison.record_crash(f"s{rng.randrange(9)}", number, now_s, waiting)
            # The callers ask again, at servers that live.
            for prompt in waiting:
                poison.record_sound(prompt, now_s + 0.2)
        self.assertEqual([], list_parts(poison))


class CheckTest(TestCase):
    """Requests with a quarantined part are refused, until one is tried."""

    def test_requests_with_the_part_are_refused_with_the_time_to_come_back(self):
        """Other requests are sent."""
        poison = make_poison("all", "some")
        verdict = poison.check(("all", "bad"), 4.0, always)
        self.assertEqual(("bad", FIRST_TERM_S - 1.0, False), verdict)
        self.assertEqual("", poison.check(("all", "some"), 4.0, always).key)

    def test_one_host_tries_one_request_after_the_term(self):
        """The others, and further requests, are refused meanwhile."""
        poison = make_poison("all", "some")
        over_s = 3.0 + FIRST_TERM_S
        self.assertEqual(("bad", TRIAL_S, False), poison.check(PROMPT, over_s, never))
        self.assertEqual(("", 0.0, True), poison.check(PROMPT, over_s, always))
        self.assertEqual("bad", poison.check(PROMPT, over_s + 1.0, always).key)
        self.assertTrue(poison.check(PROMPT, over_s + TRIAL_S, always).trial)

    def test_trial_that_crashes_a_server_prolongs_the_term(self):
        """Up to a bound."""
        poison = make_poison("all", "some")
        now_s, terms_s = 3.0, []
        for number in range(6):
            now_s += poison.list_quarantines()[0].term_s
            self.assertTrue(poison.check(PROMPT, now_s, always).trial)
            poison.record_crash(f"t{number}", 1, now_s, [PROMPT])
            terms_s.append(poison.list_quarantines()[0].term_s)
        self.assertEqual([240.0, 960.0, *[MAX_TERM_S] * 4], terms_s)

    def test_late_report_of_a_crash_changes_nothing(self):
        """It neither begins the quarantine anew nor tells its parts apart."""
        poison = make_poison()
        before = poison.list_quarantines()
        late = poison.record_crash("s2", 1, 3.01, [("all", "x")])
        self.assertEqual(([], before), (late, poison.list_quarantines()))
        self.assertTrue(poison.check(("all", "x"), 5.0, always).trial)
        poison.record_crash("s2", 1, 3.02, [("all", "y")])
        self.assertEqual("all", poison.check(("all", "x"), 6.0, always).key)

    def test_trial_that_is_answered_ends_the_quarantine(self):
        """Requests are sent again at once."""
        poison = make_poison("all", "some")
        poison.record_sound(PROMPT, 100.0)
        self.assertEqual([], list_parts(poison))
        self.assertEqual("", poison.check(PROMPT, 100.0, never).key)

    def test_parts_of_the_same_crashes_are_tried_apart(self):
        """A request with only one of them tells which one is the cause."""
        poison = make_poison()
        self.assertEqual(["all", "bad", "some"], list_parts(poison))
        soon_s = 3.0 + APART_TERM_S
        self.assertEqual("all", poison.check(PROMPT, soon_s, always).key)
        self.assertTrue(poison.check(("all", "x"), soon_s, always).trial)
        poison.record_sound(("all", "x"), soon_s + 0.1)
        poison.record_sound(("some", "x"), soon_s + 0.2)
        # The last one left is the cause.
        verdict = poison.check(("all", "bad"), soon_s + 0.3, always)
        self.assertEqual("bad", verdict.key)
        self.assertGreater(verdict.wait_s, FIRST_TERM_S - 5.0)

    def test_quarantine_without_requests_is_removed(self):
        """It is kept for a while after its end."""
        poison = make_poison("all", "some")
        poison.remove_expired(3.0 + FIRST_TERM_S + UNUSED_KEPT_S - 1.0)
        self.assertEqual(["bad"], list_parts(poison))
        poison.remove_expired(3.0 + FIRST_TERM_S + UNUSED_KEPT_S)
        self.assertEqual([], list_parts(poison))


class ReceiveTest(TestCase):
    """What other hosts know is ordered by time."""

    def test_quarantine_from_before_a_response_is_ignored(self):
        """A host that has not heard of the response sends it."""
        poison = CrashCauses()
        poison.record_sound(("bad",), 5.0)
        group = frozenset(["bad"])
        self.assertFalse(poison.receive_quarantine(Quarantine("bad", 4.0, 60.0, group)))

    def test_quarantine_of_part_that_is_answered_here_is_ignored(self):
        """A host that has just started may blame a part that is often used."""
        poison = CrashCauses()
        poison.record_sound(("popular",), 5.0)
        group = frozenset(["popular"])
        quarantine = Quarantine("popular", 6.0, 60.0, group)
        self.assertFalse(poison.receive_quarantine(quarantine))
        for number in range(ANSWERED_FACTOR * QUARANTINE_CRASHES):
            poison.record_crash(f"s{number}", 1, 7.0 + number, [("popular",)])
        self.assertEqual(["popular"], list_parts(poison))

    def test_response_from_before_a_quarantine_does_not_end_it(self):
        """A message may arrive late."""
        poison = make_poison("all", "some")
        poison.record_sound(("bad",), 2.9)
        self.assertEqual(["bad"], list_parts(poison))


class BoundsTest(TestCase):
    """The state is bounded, whatever servers and callers send."""

    def test_crashes_and_suspects_are_bounded(self):
        """The oldest crashes are dropped."""
        log = CrashLog()
        for number in range(MAX_CRASHES + 10):
            suspects = [(f"p{number}-{each}",) for each in range(MAX_SUSPECTS + 10)]
            crash = log.record_crash(f"s{number}", 1, 0.5 * number, suspects)
        self.assertEqual(MAX_SUSPECTS, len(crash.suspects))
        self.assertEqual(MAX_CRASHES, len(log.list_crashes()))

    def test_keys_are_bounded(self):
        """Long prompts leave fewer suspects, the same ones in any order of reports."""
        prompts = [
            tuple(f"p{number}-{part}" for part in range(400)) for number in range(60)
        ]
        log, reversed_log = CrashLog(), CrashLog()
        for number in range(20):
            for first in range(0, 60, 12):
                report = prompts[first : first + 12]
                log.record_crash(f"s{number}", 1, 3.0 * number, report)
            for first in reversed(range(0, 60, 15)):
                report = prompts[first : first + 15]
                reversed_log.record_crash(f"s{number}", 1, 3.0 * number, report)
        crashes = log.list_crashes()
        sizes = [len(crash.keys) for crash in crashes]
        self.assertLessEqual(max(sizes), MAX_CRASH_KEYS)
        self.assertGreater(min(sizes), MAX_CRASH_KEYS - 400)
        self.assertLessEqual(sum(sizes), MAX_KEYS)
        self.assertGreaterEqual(len(crashes), 2 * QUARANTINE_CRASHES)
        self.assertEqual(crashes, reversed_log.list_crashes())

    def test_each_suspect_is_kept_in_some_crashes(self):
        """A cause among too many suspects is found all the same."""
        poison = CrashCauses()
        waiting = [(f"own{number}",) for number in range(3 * MAX_SUSPECTS)]
        for number in range(30):
            poison.record_crash(f"s{number}", 1, 1.0 + number, [*waiting, ("zzz",)])
            for prompt in waiting:
                poison.record_sound(prompt, 1.5 + number)
        self.assertEqual(["zzz"], list_parts(poison))

    def test_quarantines_are_bounded(self):
        """The oldest ones are dropped."""
        poison = CrashCauses()
        for number in range(MAX_QUARANTINES + 10):
            part = f"p{number}"
            poison.receive_quarantine(Quarantine(part, 1.0, 60.0, frozenset([part])))
        self.assertEqual(MAX_QUARANTINES, len(poison.list_quarantines()))
