"""Tests of the search for whole requests that crash servers."""

from testtools import TestCase

from oleanderpier.routing import CrashCauses, Quarantine, make_resend_mark
from oleanderpier.routing.crashes import SIMULTANEOUS_S
from oleanderpier.routing.poison import (
    ANSWERED_FACTOR,
    ANSWERED_TERM_S,
    APART_TERM_S,
    FIRST_TERM_S,
    MAX_SOUND_KEYS,
    QUARANTINE_CRASHES,
    REQUEST_TERM_S,
    TERM_FACTOR,
)
from oleanderpier.routing.tests.test_poison import always, list_parts

BAD = "request:bad"
SOUND = "request:sound"


def make_poison(
    *suspects: tuple[str, ...], crashes: int = QUARANTINE_CRASHES
) -> CrashCauses:
    """Return the state after crashes with these suspects, one a second from 1 s."""
    poison = CrashCauses()
    for number in range(crashes):
        poison.record_crash(f"s{number}", 1, 1.0 + number, suspects)
    return poison


class RequestQuarantineTest(TestCase):
    """A request is refused after its third crash, and no other one."""

    def test_request_without_prompt_is_quarantined(self):
        """Requests that were in one of the crashes are not."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            self.assertEqual([], list_parts(poison))
            beside = (f"request:{number}",)
            poison.record_crash(f"s{number}", 1, 1.0 + number, [(BAD,), beside])
        (quarantine,) = poison.list_quarantines()
        expected = (BAD, REQUEST_TERM_S)
        self.assertEqual(expected, (quarantine.key, quarantine.term_s))

    def test_request_goes_before_the_parts_of_its_prompt(self):
        """Other requests with its prompt are sent."""
        poison = make_poison(("all", "own", BAD))
        self.assertEqual([BAD], list_parts(poison))
        self.assertEqual("", poison.check(("all", "own", SOUND), 4.0, always).key)

    def test_part_that_crashes_servers_in_another_request_is_quarantined_too(self):
        """The request was only the first one with the part, and came again."""
        poison = make_poison(("all", "part", BAD))
        poison.record_sound(("all",), 3.5)
        poison.record_crash("t", 1, 4.0, [("all", "part", "request:other")])
        self.assertEqual(["part", BAD], list_parts(poison))

    def test_part_goes_before_requests_that_differ_in_their_prompts(self):
        """Their path, caller and body are the same, so that they share a key."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            suspects = [("part", f"own{number}", BAD), (f"other{number}", BAD)]
            poison.record_crash(f"s{number}", 1, 1.0 + number, suspects)
        self.assertEqual(["part"], list_parts(poison))

    def test_part_that_is_found_after_requests_that_differ_in_it_is_blamed(self):
        """Their common key reached the limit first, since it was sent again at once."""
        poison = CrashCauses()
        resent = (BAD, make_resend_mark(BAD))
        poison.record_crash("s0", 1, 1.0, [("part", "p0", BAD), ("p1", BAD)])
        for number in (1, 2):
            at_s = 1.0 + 0.5 * SIMULTANEOUS_S * number
            suspects = [("part", "p0", *resent), ("p1", *resent)]
            poison.record_crash(f"s{number}", 1, at_s, suspects)
        self.assertEqual([BAD], list_parts(poison))
        poison.record_sound(("p0", "p1"), 1.5)
        poison.record_crash("t0", 1, 2.0, [("part", "p1", BAD)])
        poison.record_crash("t1", 1, 3.2, [("part", "p0", BAD)])
        self.assertEqual(["part"], list_parts(poison))
        self.assertEqual("", poison.check(("p0", BAD), 3.3, always).key)
        theirs = Quarantine(BAD, 3.0, REQUEST_TERM_S, frozenset([BAD]))
        self.assertFalse(poison.receive_quarantine(theirs))

    def test_trial_with_a_possible_cause_in_its_prompt_is_repeated_sooner(self):
        """The requests that share a key differ in their prompts."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"s{number}", 1, 1.0 + number, [(f"p{number}", BAD)])
        self.assertEqual([BAD], list_parts(poison))
        over_s = 3.0 + ANSWERED_TERM_S
        self.assertTrue(poison.check(("part", BAD), over_s, always).trial)
        poison.record_crash("t", 1, over_s + 0.1, [("part", BAD)])
        (quarantine,) = poison.list_quarantines()
        self.assertEqual(TERM_FACTOR * ANSWERED_TERM_S, quarantine.term_s)

    def test_answered_part_goes_before_requests_that_differ_in_their_prompts(self):
        """It was answered once, and has crashed twice as many servers since."""
        poison = CrashCauses()
        poison.record_sound(("part",), 0.0)
        for number in range(ANSWERED_FACTOR * QUARANTINE_CRASHES):
            suspects = [("part", f"own{number}", BAD), (f"other{number}", BAD)]
            poison.record_crash(f"s{number}", 1, 1.0 + number, suspects)
        self.assertEqual(["part"], list_parts(poison))

    def test_crash_on_requests_from_before_does_not_extend_their_refusal(self):
        """Streams with the key go on while it is refused, until their server ends."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"s{number}", 1, 1.0 + number, [(f"p{number}", BAD)])
        over_s = 3.0 + ANSWERED_TERM_S
        poison.record_crash("t", 1, over_s - 0.5, [(BAD,)])
        self.assertTrue(poison.check((BAD,), over_s, always).trial)

    def test_request_beside_a_part_that_crashes_servers_is_tried_apart(self):
        """Many send it, so that it was in flight at each server that ended."""
        poison = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            suspects = [("part", f"request:{number}"), (SOUND,)]
            poison.record_crash(f"s{number}", 1, 1.0 + number, suspects)
        self.assertEqual(["part", SOUND], list_parts(poison))
        soon_s = float(QUARANTINE_CRASHES) + APART_TERM_S
        self.assertTrue(poison.check((SOUND,), soon_s, always).trial)
        poison.record_sound((SOUND,), soon_s + 0.1)
        self.assertEqual(["part"], list_parts(poison))

    def test_cause_that_a_later_report_of_the_crash_names_is_found(self):
        """Hosts that had other requests at each of the servers reported first."""
        for first, expected in (
            ([(SOUND,)], [BAD, SOUND]),
            ([("p0", SOUND), ("p1", SOUND)], [BAD]),
        ):
            poison = CrashCauses()
            poison.record_sound(("p0", "p1"), 0.0)
            for number in range(QUARANTINE_CRASHES):
                poison.record_crash(f"s{number}", 1, 1.0 + number, first)
                poison.record_crash(f"s{number}", 1, 1.002 + number, [(BAD,)])
            self.assertEqual(expected, list_parts(poison))

    def test_cause_stays_refused_when_late_reports_name_others(self):
        """The others were in one more crash before."""
        poison = make_poison((BAD,))
        poison.record_crash("earlier", 1, 0.5, [(SOUND,)])
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"s{number}", 1, 1.002 + number, [(SOUND,)])
        self.assertEqual([BAD, SOUND], list_parts(poison))
        soon_s = float(QUARANTINE_CRASHES) + APART_TERM_S
        self.assertEqual(BAD, poison.check((BAD,), soon_s - 0.1, always).key)
        self.assertTrue(poison.check((SOUND,), soon_s + 0.1, always).trial)

    def test_request_that_many_send_is_tried_soon(self):
        """It was answered between crashes, or its prompts differ."""
        answered = make_poison((BAD,), crashes=1)
        answered.record_sound((BAD,), 1.5)
        differing = CrashCauses()
        for number in range(QUARANTINE_CRASHES):
            for poison, suspect in (
                (answered, (BAD,)),
                (differing, (f"p{number}", BAD)),
            ):
                poison.record_crash(f"t{number}", 1, 2.0 + number, [suspect])
        for poison in (answered, differing):
            (quarantine,) = poison.list_quarantines()
            self.assertEqual(
                (BAD, ANSWERED_TERM_S), (quarantine.key, quarantine.term_s)
            )
            over_s = quarantine.since_s + ANSWERED_TERM_S
            self.assertTrue(poison.check((BAD,), over_s, always).trial)
            poison.record_crash("u", 1, over_s + 0.1, [(BAD,)])
            self.assertEqual(REQUEST_TERM_S, poison.list_quarantines()[0].term_s)

    def test_reports_of_one_crash_count_once(self):
        """A host may not know of the last start, and the request was resent."""
        poison = make_poison((BAD,), crashes=1)
        resent = (BAD, make_resend_mark(BAD))
        for born_ms in (1, 2, 3):
            poison.record_crash("t", born_ms, 2.0, [resent])
        self.assertEqual([], list_parts(poison))

    def test_request_that_was_answered_before_is_quarantined_as_soon(self):
        """Its answers from before the first crash say nothing of later ones."""
        poison = make_poison((BAD,), crashes=1)
        poison.record_sound((BAD,), 1.5)
        for number in range(QUARANTINE_CRASHES):
            self.assertEqual([], list_parts(poison))
            poison.record_crash(f"t{number}", 1, 2.0 + number, [(BAD,)])
        self.assertEqual([BAD], list_parts(poison))

    def test_request_that_is_answered_between_crashes_is_not_quarantined(self):
        """It waited at the servers by chance."""
        poison = CrashCauses()
        for number in range(9):
            poison.record_crash(f"s{number}", 1, 1.0 + number, [(BAD,)])
            poison.record_sound((BAD,), 1.5 + number)
        self.assertEqual([], list_parts(poison))

    def test_request_that_is_sent_again_at_once_counts_again(self):
        """It crashes the next server within the time of simultaneous crashes."""
        poison = make_poison((BAD,), crashes=1)
        resent = (BAD, make_resend_mark(BAD))
        for number in range(1, QUARANTINE_CRASHES):
            at_s = 1.0 + 0.5 * SIMULTANEOUS_S * number
            poison.record_crash(f"s{number}", 1, at_s, [resent, (SOUND,)])
        self.assertEqual([BAD], list_parts(poison))

    def test_servers_of_one_machine_count_once(self):
        """A request that many send is in flight at all of them."""
        poison = CrashCauses()
        for number in range(9):
            poison.record_crash(f"s{number}", 1, 1.0 + 0.01 * number, [(SOUND,)])
        self.assertEqual([], list_parts(poison))

    def test_requests_of_the_same_crashes_are_tried_apart(self):
        """The one that is answered is sent again at once."""
        poison = make_poison((BAD,), (SOUND,))
        self.assertEqual([BAD, SOUND], list_parts(poison))
        soon_s = float(QUARANTINE_CRASHES) + APART_TERM_S
        self.assertTrue(poison.check((SOUND,), soon_s, always).trial)
        poison.record_sound((SOUND,), soon_s + 0.1)
        self.assertEqual("", poison.check((SOUND,), soon_s + 0.2, always).key)
        self.assertEqual([BAD], list_parts(poison))

    def test_response_to_a_request_ends_its_quarantine(self):
        """The trial after its term was answered."""
        poison = make_poison((BAD,))
        over_s = 3.0 + REQUEST_TERM_S
        self.assertTrue(poison.check((BAD,), over_s, always).trial)
        poison.record_sound((BAD,), over_s + 0.1)
        self.assertEqual([], list_parts(poison))

    def test_responses_to_requests_do_not_displace_parts(self):
        """Only those to requests under suspicion are kept."""
        poison = make_poison((BAD,), crashes=1)
        poison.record_sound(("part",), 1.0)
        for number in range(MAX_SOUND_KEYS):
            poison.record_sound((f"request:{number}",), 2.0)
        for number in range(QUARANTINE_CRASHES):
            poison.record_crash(f"t{number}", 1, 3.0 + number, [("part",)])
        self.assertEqual([], list_parts(poison))


class OlderHostsTest(TestCase):
    """Hosts that know only parts of prompts report and quarantine these."""

    def test_part_of_one_request_is_not_quarantined_for_them(self):
        """They take a part for the cause if one request with it crashes servers."""
        poison = make_poison(("part", BAD))
        group = frozenset(["part"])
        theirs = Quarantine("part", 4.0, FIRST_TERM_S, group)
        self.assertFalse(poison.receive_quarantine(theirs))
        # One of them has seen a crash on another request with the part.
        poison.record_crash("t", 1, 5.0, [("part",)])
        self.assertEqual(["part", BAD], list_parts(poison))

    def test_mark_is_never_quarantined(self):
        """They take it for a further part."""
        mark = make_resend_mark(BAD)
        poison = make_poison((BAD, mark))
        self.assertEqual([BAD], list_parts(poison))
        theirs = Quarantine(mark, 4.0, FIRST_TERM_S, frozenset([BAD, mark]))
        self.assertFalse(poison.receive_quarantine(theirs))
