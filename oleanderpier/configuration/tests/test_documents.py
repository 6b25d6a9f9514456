"""Tests of the validation of published documents."""

from testtools import TestCase

from oleanderpier.configuration import check_document
from oleanderpier.exception import SettingsError


def make_host(**changes):
    """Return a valid host entry with some fields changed."""
    host = {
        "name": "h1",
        "failure_domain": "duluth",
        "address": "127.0.0.1",
        "caller_port": 1001,
        "peer_port": 1002,
        "operator_port": 1003,
        "state": "live",
    }
    return {**host, **changes}


class CheckDocumentTest(TestCase):
    """A document is accepted whole, or refused with the path of its fault."""

    def test_refusals_name_the_path(self):
        """The error of each fault has the path of the faulty field."""
        cases = [
            ({"version": 0, "hosts": []}, "$.version"),
            ({"version": 1, "hosts": [], "hots": []}, "$.hots"),
            (
                {"version": 1, "hosts": [make_host(peer_port=0)]},
                "$.hosts[0].peer_port",
            ),
            ({"version": 1, "hosts": [make_host(), make_host()]}, "$.hosts[1].name"),
            ([], "$"),
        ]
        for value, path in cases:
            with self.subTest(path=path):
                error = self.assertRaises(SettingsError, check_document, "hosts", value)
                self.assertEqual(path, error.path)

    def test_documents_of_one_version_are_ordered(self):
        """Two values of one version have different, reproducible version keys."""
        one = check_document("hosts", {"version": 1, "hosts": [make_host()]})
        two = check_document("hosts", {"version": 1, "hosts": [make_host(name="h2")]})
        self.assertNotEqual(one.version_key, two.version_key)
        self.assertEqual(one.version_key, check_document("hosts", one.body).version_key)
