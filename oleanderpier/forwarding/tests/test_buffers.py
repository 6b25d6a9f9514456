"""Tests of the bound on the bytes of all responses."""

from testtools import TestCase

from oleanderpier.forwarding.buffers import ResponseBuffer, ResponseBuffers


class ResponseBuffersTest(TestCase):
    """The largest response of the server with the most bytes is ended."""

    def setUp(self) -> None:
        """Make empty buffers."""
        super().setUp()
        self.ended: list[str] = []
        self.buffers = ResponseBuffers(max_bytes=100)

    def open(self, server: str, name: str) -> ResponseBuffer:
        """Return a buffer that records its end."""
        return self.buffers.open(server, lambda: self.ended.append(name))

    def test_large_response_of_another_server_remains(self):
        """Many small ones of one server are more than it."""
        sound = self.open("s1", "sound")
        sound.resize(40)
        for number in range(8):
            self.open("s2", f"endless {number}").resize(10 + number)
        self.assertNotIn("sound", self.ended)
        self.assertEqual(40, sound.size)
        self.assertLessEqual(self.buffers.total_bytes, 100)

    def test_closed_responses_count_no_more(self):
        """However often they are closed."""
        first = self.open("s1", "first")
        first.resize(90)
        first.close()
        first.close()
        self.open("s1", "second").resize(90)
        self.assertEqual(([], 90), (self.ended, self.buffers.total_bytes))

    def test_only_response_is_ended_if_it_is_too_large(self):
        """It is ended once, and counts no more."""
        only = self.open("s1", "only")
        only.resize(101)
        self.assertEqual((["only"], 0), (self.ended, self.buffers.total_bytes))

    def test_whole_response_remains(self):
        """It counts, and the next one is ended in its place."""
        whole = self.open("s1", "whole")
        whole.resize(90)
        whole.complete()
        self.open("s2", "next").resize(20)
        self.assertEqual((["next"], 90), (self.ended, self.buffers.total_bytes))
