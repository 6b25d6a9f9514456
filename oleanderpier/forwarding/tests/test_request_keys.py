"""Tests of the keys of a request."""

from testtools import TestCase

from oleanderpier.forwarding import RequestKeys, list_prompt_keys
from oleanderpier.forwarding.tests.fakes import make_call
from oleanderpier.routing import PromptPart, WorkspaceEntry
from oleanderpier.routing.tests.fakes import make_route


def compute_key(**changes) -> str:
    """Return the key of a request as a whole."""
    call = make_call(make_route(), 1.0)._replace(path="/a/b?c=1", body=b"body")
    return RequestKeys(call._replace(**changes)).whole


class WholeKeyTest(TestCase):
    """The key stands for the path, the caller and the body."""

    def test_key_is_the_same_for_each_time_that_it_is_sent(self):
        """Whatever its id, deadline, further headers and position in a stream are."""
        changes = {
            "identity": "other",
            "deadline_s": 99.0,
            "headers": [("X-Trace", "1")],
            "last_event_id": "7",
            "method": "PUT",
            "workspace": None,
        }
        self.assertEqual(compute_key(), compute_key(**changes))

    def test_keys_of_other_requests_differ(self):
        """They have another path, query, caller or body of any size."""
        keys = {
            compute_key(),
            compute_key(path="/a/b"),
            compute_key(path="/a/b?c=1b", body=b"ody"),
            compute_key(workspace=WorkspaceEntry("w1", None)),
            compute_key(workspace=WorkspaceEntry("w2", 3)),
            compute_key(body=b""),
            compute_key(body=bytes(4 << 20)),
            compute_key(body=bytes((4 << 20) - 1)),
            compute_key(route=make_route(host_name="other.example")),
        }
        self.assertEqual(9, len(keys))

    def test_changed_priority_of_the_caller_does_not_change_the_key(self):
        """A new configuration may change it."""
        self.assertEqual(
            compute_key(workspace=WorkspaceEntry("w1", None)),
            compute_key(workspace=WorkspaceEntry("w1", 5)),
        )


class PromptKeysTest(TestCase):
    """The keys of a prompt are bounded and leave out the request's own part."""

    def test_keys(self):
        """Long ids are hashed; a prompt of one part has no keys."""
        parts = tuple(PromptPart(f"p{number}" * 40, 1) for number in range(5000))
        call = make_call(make_route(), 1.0)._replace(prompt_parts=parts)
        keys = list_prompt_keys(call)
        self.assertEqual((4096, 4096), (len(keys), len(set(keys))))
        self.assertEqual({16}, set(map(len, keys)))
        self.assertEqual((), list_prompt_keys(call._replace(prompt_parts=parts[:1])))

    def test_each_part_that_a_header_holds_has_a_key(self):
        """Guards against parts behind the sixteenth that crash servers without end."""
        parts = tuple(PromptPart(f"{number:x}", 1) for number in range(2600))
        call = make_call(make_route(), 1.0)._replace(prompt_parts=parts)
        keys = list_prompt_keys(call)
        self.assertEqual([f"{number:x}" for number in range(2599)], list(keys))
