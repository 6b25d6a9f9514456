"""The options that say which hosts are asked, shared by the commands."""

import functools
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple, NoReturn

import click
from aiohttp import ClientSession, ClientTimeout
from expression import Error

from oleanderpier.cli.tables import print_table
from oleanderpier.operators import (
    Directory,
    Operator,
    Reply,
    ask_all,
    find_directory,
)
from oleanderpier.results import Code, Failure
from oleanderpier.settings import read_settings
from oleanderpier.utils import run_coroutine

__all__ = [
    "Question",
    "Unanswered",
    "add_options",
    "ask",
    "end",
    "list_answers",
    "list_unanswered",
    "list_unknown",
    "open_directory",
    "open_session",
    "print_unanswered",
]

OTHER_HOSTS = "(other hosts)"
OPERATOR_HELP = "Operator address of a host; may be repeated."
SETTINGS_HELP = "Settings file of a host to ask; may be repeated."


class Question(NamedTuple):
    """Whom to ask, and how to print what comes back.

    Attributes:
        seeds: The hosts that the options name.
        only: Whether the hosts that the seeds know of are left out.
        timeout_s: Seconds until a host counts as unreachable.
        as_json: Whether programs read the output.
    """

    seeds: list[Operator]
    only: bool
    timeout_s: float
    as_json: bool


class Unanswered(NamedTuple):
    """A host that gave no answer, and why."""

    host: str
    text: str


def parse_operator(text: str) -> Operator:
    """Return the operator at ``ADDRESS:PORT``.

    Raises:
        click.BadParameter: The text has another form.

    Examples:
        >>> parse_operator("[::1]:7003")
        Operator(host='[::1]:7003', address='::1', port=7003)
    """
    address, colon, port = text.rpartition(":")
    if not colon or not address or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"found {text!r}, allowed ADDRESS:PORT")
    return Operator(text, address.strip("[]"), int(port))


def load_operator(path: str) -> Operator:
    """Return the operator of the host whose settings file this is.

    Raises:
        click.UsageError: The file is refused.
    """
    result = read_settings(path)
    if result.is_error():
        raise click.UsageError(result.error.text)
    settings = result.ok
    return Operator(settings["host"], settings["address"], settings["operator_port"])


def add_options(command: Callable) -> Callable:
    """Give a command the options of a ``Question``, its first argument."""

    @click.option("--operator", multiple=True, metavar="IP:PORT", help=OPERATOR_HELP)
    @click.option(
        "--settings",
        multiple=True,
        type=click.Path(path_type=Path),
        metavar="FILE",
        help=SETTINGS_HELP,
    )
    @click.option("--only", is_flag=True, help="Ask no host beyond those named.")
    @click.option(
        "--timeout",
        type=click.FloatRange(min=0.01),
        default=2.0,
        show_default=True,
        help="Seconds until a host counts as unreachable.",
    )
    @click.option("--json", "as_json", is_flag=True, help="Print JSON.")
    @functools.wraps(command)
    def wrapped(operator, settings, only, timeout, as_json, **arguments: Any):
        seeds = [load_operator(path) for path in settings]
        seeds += [parse_operator(text) for text in operator]
        seeds = list(dict.fromkeys(seeds))
        if not seeds:
            raise click.UsageError("Name a host with --settings or --operator.")
        return command(Question(seeds, only, timeout, as_json), **arguments)

    return wrapped


def open_session(question: Question) -> ClientSession:
    """Return an HTTP session with the question's timeout."""
    return ClientSession(timeout=ClientTimeout(total=question.timeout_s))


def ask(
    question: Question,
    path: str,
    schema: type,
    hosts: Sequence[str] = (),
    **query: str | int,
) -> list[Reply]:
    """Ask all hosts, or those with the names given, and return their replies.

    A name that is in no list of hosts gets a failure for a reply.
    """

    async def run() -> list[Reply]:
        async with open_session(question) as session:
            directory = await open_directory(session, question)
            asked = select_operators(directory, hosts)
            replies = await ask_all(session, asked, path, schema, **query)
            return replies + list_unknown(directory, hosts)

    return run_coroutine(run())


async def open_directory(session: ClientSession, question: Question) -> Directory:
    """Return the hosts that may be asked."""
    if question.only:
        return Directory(question.seeds, listed=True)
    return await find_directory(session, question.seeds)


def select_operators(directory: Directory, hosts: Sequence[str]) -> list[Operator]:
    """Return the hosts with the names given, all if no names are given."""
    return [each for each in directory.operators if not hosts or each.host in hosts]


def list_unknown(directory: Directory, hosts: Sequence[str] = ()) -> list[Reply]:
    """Return failures for the hosts whose addresses are not known."""
    names = [operator.host for operator in directory.operators]
    unknown = [host for host in hosts if host not in names]
    if not directory.listed and not hosts:
        unknown = [OTHER_HOSTS]
    failure = Failure(Code.PEER_UNREACHABLE, "in no list of hosts that could be read")
    return [Reply(Operator(host, "", 0), Error(failure)) for host in unknown]


def list_answers(replies: Sequence[Reply]) -> list[Any]:
    """Return the answers among the replies."""
    return [reply.result.ok for reply in replies if reply.result.is_ok()]


def list_unanswered(replies: Sequence[Reply]) -> list[Unanswered]:
    """Return the hosts that gave no answer."""
    return [
        Unanswered(reply.operator.host, reply.result.error.text)
        for reply in replies
        if reply.result.is_error()
    ]


def print_unanswered(unanswered: Sequence[Unanswered]) -> None:
    """Print a table of the hosts that gave no answer, if there are any."""
    if unanswered:
        click.echo()
        print_table(["NO ANSWER FROM", "WHY"], unanswered)


def end(unanswered: Sequence[Unanswered]) -> NoReturn:
    """End the command with the exit status that the replies call for."""
    raise SystemExit(1 if unanswered else 0)
