"""Tests of the command that finds sends to overloaded servers."""

from testtools import TestCase

from oleanderpier.cli.tests.test_trace import make_line, run_command

SERVERS = ("i-1", "i-2", "i-3")


def make_send(number: int, process: str, start: float, server: str = "i-1") -> str:
    """Return the line of an attempt that takes one second."""
    return make_line(
        start + 1.0,
        process,
        "forward:send",
        request=f"r{number}",
        service="engine",
        server=server,
        why="cached",
        load=2,
        load_age_s=0.5,
        mean_load=1.0,
        server_state="joined",
        server_state_age_s=3.0,
        took_s=1.0,
    )


def make_logs(requests: int) -> str:
    """Return logs in which hosts send requests to one of three servers."""
    lines = [
        make_line(90.0, "h1", "roster:server", identity=server, service="engine")
        for server in SERVERS
    ]
    lines += [
        make_send(number, f"h{number % 4}", 100.0 + 0.01 * number)
        for number in range(requests)
    ]
    return "\n".join(reversed(lines))


class LoadsTest(TestCase):
    """Requests in flight are counted over the logs of all hosts."""

    def test_sends_below_limit_are_not_listed(self):
        """A server with 9 requests, at a mean of 3, is at the limit and not over it."""
        result = run_command("loads", text=make_logs(10))
        self.assertIn("0.0000", result.output)
        self.assertNotIn("r9", result.output)

    def test_overloaded_send_shows_belief_and_other_senders(self):
        """A send over the limit shows its host, its belief and the others' sends."""
        result = run_command("loads", "--json", text=make_logs(12))
        self.assertEqual(0, result.exit_code, result.output)
        for text in ('"r10"', '"h2"', '"load": 10', '"mean_load": 3.33'):
            self.assertIn(text, result.output)
        # The first send of the same host is 0.1 s old and not counted.
        self.assertIn('"other_sends": 8', result.output)

    def test_server_that_left_is_not_in_the_mean(self):
        """The mean is over the servers that are registered at the time."""
        gone = make_line(99.0, "h1", "roster:server_gone", identity="i-3")
        result = run_command("loads", "--json", text=f"{make_logs(12)}\n{gone}")
        self.assertIn('"overloaded": []', result.output)

    def test_limit_factor_is_an_option(self):
        """With a higher factor the same sends are within the limit."""
        result = run_command(
            "loads", "--json", "--limit-factor", "3", text=make_logs(12)
        )
        self.assertIn('"overloaded": []', result.output)
        result = run_command("loads", "--limit-factor", "0.5", text="")
        self.assertEqual(2, result.exit_code)

    def test_no_logs_give_no_windows(self):
        """Without a line of an attempt there is nothing to count."""
        result = run_command("loads", "--json", text="")
        self.assertIn('"windows": []', result.output)
