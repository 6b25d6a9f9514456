"""Tests of the documents in force and of differences between versions."""

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
from oleanderpier.configuration.tests.fakes import (
    make_configuration_value,
    make_server_entry,
)
from oleanderpier.exception import SettingsError
from oleanderpier.results import Code
from oleanderpier.utils import decode_message, encode_message


class NaiveDocuments:
    """Baseline that puts whatever was read last in force, without validation."""

    def __init__(self) -> None:
        self.value: Any = None

    def apply_value(self, name: str, value: Any) -> None:
        """Put a value in force."""
        self.value = value

    def get(self, name: str) -> Any:
        """Return the document of the value read last, which may be invalid."""
        return check_document(name, self.value)


VALID_VALUE = make_configuration_value(5)
OTHER_VALUE_OF_VERSION = make_configuration_value(5, workspaces=3)
INVALID_VALUE = {**make_configuration_value(6), "load_multiple": 99.0}
HIGHER_DIGEST, LOWER_DIGEST = sorted(
    (check_document("configuration", v) for v in (VALID_VALUE, OTHER_VALUE_OF_VERSION)),
    key=lambda published: published.version_key,
    reverse=True,
)
SEQUENCES = {
    "stale platform": (
        [make_configuration_value(4), VALID_VALUE, make_configuration_value(3)],
        5,
        None,
    ),
    "race, higher first": (
        [HIGHER_DIGEST.body, LOWER_DIGEST.body],
        5,
        HIGHER_DIGEST.digest,
    ),
    "race, lower first": (
        [LOWER_DIGEST.body, HIGHER_DIGEST.body],
        5,
        HIGHER_DIGEST.digest,
    ),
    "bad value": ([VALID_VALUE, INVALID_VALUE], 5, None),
    "no mapping": ([VALID_VALUE, [1]], 5, None),
}
SEQUENCES_THAT_FAIL_NAIVE = {
    "stale platform",
    "race, higher first",
    "bad value",
    "no mapping",
}


def ends_with_expected_document(
    documents: Any, values: list, version: int, digest: Any
) -> bool:
    """Return whether the expected document is in force after applying values."""
    for value in values:
        documents.apply_value("configuration", value)
    try:
        current = documents.get("configuration")
    except SettingsError:
        return False
    return current.version == version and digest in (None, current.digest)


class DocumentsTest(TestCase):
    """The version in force never decreases."""

    def test_naive_documents_fail_known_sequences(self):
        """Putting the last value in force fails the known sequences, and no others."""
        failed = {
            label
            for label, case in SEQUENCES.items()
            if not ends_with_expected_document(NaiveDocuments(), *case)
        }
        self.assertEqual(SEQUENCES_THAT_FAIL_NAIVE, failed)

    def test_expected_document_is_in_force_after_each_sequence(self):
        """The expected document is in force after stale, racing and invalid values."""
        for label, case in SEQUENCES.items():
            with self.subTest(label=label):
                self.assertTrue(ends_with_expected_document(Documents(), *case))

    def test_repeated_refusal_is_recorded_once(self):
        """An invalid value is a failure with its path, and is listed once."""
        documents = Documents()
        for _ in range(2):
            result = documents.apply_value("configuration", INVALID_VALUE)
            self.assertEqual(Code.CONFIGURATION_INVALID, result.error.code)
        [refusal] = documents.list_refusals()
        self.assertEqual(6, refusal.version)
        self.assertIn("$.load_multiple", refusal.text)


SERVER_ENTRIES = st.lists(
    st.builds(
        make_server_entry,
        st.integers(0, 6),
        slots=st.integers(1, 3),
        state=st.sampled_from(["live", "leaving"]),
    ),
    max_size=6,
    unique_by=lambda entry: entry["name"],
)
INVALID_CHANGES = [
    {"slots": 0},
    {"slots": 2.0},
    {"checks_fencing": 1},
    {"slot": 2},
    {"name": "engine-1"},
    {"provides": "model"},
]


def make_servers_value(version: int, entries: list[Any]) -> Any:
    """Return the value of a ``backend_servers`` document."""
    return {"version": version, "backend_servers": entries}


def capture_result(check: Any, *arguments: Any) -> Any:
    """Return the result of a check, or the text of its error."""
    try:
        return check(*arguments)
    except SettingsError as error:
        return str(error)


class DeltaTest(TestCase):
    """A difference applied to its base gives the target document."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(SERVER_ENTRIES, SERVER_ENTRIES)
    def test_delta_round_trip_gives_target(self, old, new):
        """An encoded, decoded and applied difference gives the target.

        There is no difference if entries changed their order.
        """
        base = check_document("backend_servers", make_servers_value(1, old))
        target = check_document("backend_servers", make_servers_value(2, new))
        delta = make_delta(base, target)
        if delta is None:
            return
        received = decode_message(encode_message(delta))
        self.assertEqual(target, apply_delta(base, received))

    def test_delta_of_one_entry_is_small(self):
        """The difference of one entry in 1,000 has under 1% of the document's bytes."""
        entries = [make_server_entry(i) for i in range(1000)]
        base = check_document("backend_servers", make_servers_value(1, entries))
        changed = [make_server_entry(i, slots=1 if i == 7 else 64) for i in range(1000)]
        target = check_document("backend_servers", make_servers_value(2, changed))
        delta = make_delta(base, target)
        whole = len(
            encode_message(
                make_delta(base._replace(body=make_servers_value(1, [])), target)
            )
        )
        self.assertLess(len(encode_message(delta)), whole / 100)

    def test_check_with_base_gives_same_result(self):
        """Validation gives the same result with a base as without."""
        entries = [make_server_entry(i) for i in range(4)]
        base = check_document("backend_servers", make_servers_value(1, entries))
        for fault in [{}, *INVALID_CHANGES]:
            value = make_servers_value(2, [*entries[:3], {**entries[3], **fault}])
            with self.subTest(fault=fault):
                whole = capture_result(check_document, "backend_servers", value)
                quick = capture_result(
                    check_document_update, "backend_servers", value, base
                )
                self.assertEqual(whole, quick)
