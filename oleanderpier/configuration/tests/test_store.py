"""Tests of what is in force, on a naive baseline and on the real store."""

from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from oleanderpier.configuration import (
    Documents,
    apply_delta,
    check_document,
    check_document_update,
    make_delta,
)
from oleanderpier.configuration.tests.fakes import make_server, make_value
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code
from oleanderpier.utils import decode_message, encode_message


class NaiveDocuments:
    """Takes whatever was read last."""

    def __init__(self) -> None:
        self.value: Any = None

    def apply_value(self, name: str, value: Any) -> None:
        """Take a value."""
        self.value = value

    def get(self, name: str) -> Any:
        """Return the value read last as if it were checked."""
        return check_document(name, self.value)


GOOD = make_value(5)
OTHER = make_value(5, workspaces=3)
BAD = {**make_value(6), "load_multiple": 99.0}
HIGHER, LOWER = sorted(
    (check_document("configuration", v) for v in (GOOD, OTHER)),
    key=lambda published: published.version_key,
    reverse=True,
)
SEQUENCES = {
    "stale platform": ([make_value(4), GOOD, make_value(3)], 5, None),
    "race, higher first": ([HIGHER.body, LOWER.body], 5, HIGHER.digest),
    "race, lower first": ([LOWER.body, HIGHER.body], 5, HIGHER.digest),
    "bad value": ([GOOD, BAD], 5, None),
    "no mapping": ([GOOD, [1]], 5, None),
}
NAIVE_FAILS = {"stale platform", "race, higher first", "bad value", "no mapping"}


def check_sequence(documents: Any, values: list, version: int, digest: Any) -> bool:
    """Return whether the right document is in force after some offers."""
    for value in values:
        documents.apply_value("configuration", value)
    try:
        current = documents.get("configuration")
    except SettingsError:
        return False
    return current.version == version and digest in (None, current.digest)


class DocumentsTest(TestCase):
    """What is in force only rises."""

    def test_baseline_fails(self):
        """Taking what was read last fails just the known sequences."""
        failed = {
            label
            for label, case in SEQUENCES.items()
            if not check_sequence(NaiveDocuments(), *case)
        }
        self.assertEqual(NAIVE_FAILS, failed)

    def test_documents_pass(self):
        """The store has the right document in force after each sequence."""
        for label, case in SEQUENCES.items():
            with self.subTest(label=label):
                self.assertTrue(check_sequence(Documents(), *case))

    def test_refusal_is_remembered(self):
        """A bad value is a failure with its path, and is listed once."""
        documents = Documents()
        for _ in range(2):
            result = documents.apply_value("configuration", BAD)
            self.assertEqual(Code.CONFIGURATION_INVALID, result.error.code)
        [refusal] = documents.list_refusals()
        self.assertEqual(6, refusal.version)
        self.assertIn("$.load_multiple", refusal.text)


ENTRIES = st.lists(
    st.builds(
        make_server,
        st.integers(0, 6),
        slots=st.integers(1, 3),
        state=st.sampled_from(["live", "leaving"]),
    ),
    max_size=6,
    unique_by=lambda entry: entry["name"],
)
FAULTY = [
    {"slots": 0},
    {"slots": 2.0},
    {"checks_fencing": 1},
    {"slot": 2},
    {"name": "engine-1"},
    {"provides": "model"},
]


def make_list(version: int, entries: list[Any]) -> Any:
    """Return a document's value."""
    return {"version": version, "backend_servers": entries}


def judge(check: Any, *arguments: Any) -> Any:
    """Return what a check returned or raised, to be compared."""
    try:
        return check(*arguments)
    except SettingsError as error:
        return str(error)


class DeltaTest(TestCase):
    """A difference leads to just the document that it was made of."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(ENTRIES, ENTRIES)
    def test_round_trip(self, old, new):
        """Over the wire and applied, or refused where the order changed."""
        base = check_document("backend_servers", make_list(1, old))
        target = check_document("backend_servers", make_list(2, new))
        delta = make_delta(base, target)
        if delta is None:
            return
        received = decode_message(encode_message(delta))
        self.assertEqual(target, apply_delta(base, received))

    def test_small_change_is_small(self):
        """One changed entry of a thousand costs less than 1% of the bytes."""
        entries = [make_server(i) for i in range(1000)]
        base = check_document("backend_servers", make_list(1, entries))
        changed = [make_server(i, slots=1 if i == 7 else 64) for i in range(1000)]
        target = check_document("backend_servers", make_list(2, changed))
        delta = make_delta(base, target)
        whole = len(
            encode_message(make_delta(base._replace(body=make_list(1, [])), target))
        )
        self.assertLess(len(encode_message(delta)), whole / 100)

    def test_quick_check_judges_alike(self):
        """With a base or without, a value is taken or refused alike."""
        entries = [make_server(i) for i in range(4)]
        base = check_document("backend_servers", make_list(1, entries))
        for fault in [{}, *FAULTY]:
            value = make_list(2, [*entries[:3], {**entries[3], **fault}])
            with self.subTest(fault=fault):
                whole = judge(check_document, "backend_servers", value)
                quick = judge(check_document_update, "backend_servers", value, base)
                self.assertEqual(whole, quick)
