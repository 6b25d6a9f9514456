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
    HostDirectory,
    OperatorEndpoint,
    QueryOutcome,
    discover_hosts,
    query_hosts,
)
from oleanderpier.results import Code, Failure
from oleanderpier.settings import read_settings
from oleanderpier.utils import run_coroutine

__all__ = [
    "QueryOptions",
    "UnansweredHost",
    "add_query_options",
    "exit_with_status",
    "list_responses",
    "list_unanswered_hosts",
    "list_unknown_hosts",
    "load_directory",
    "open_session",
    "print_unanswered_hosts",
    "query_fleet",
]

OTHER_HOSTS = "(other hosts)"
OPERATOR_HELP = "Operator address of a host; may be repeated."
SETTINGS_HELP = "Settings file of a host to ask; may be repeated."


class QueryOptions(NamedTuple):
    """Whom to ask, and how to print what comes back.

    Attributes:
        seeds: The hosts that the options name.
        only: Whether the hosts that the seeds know of are left out.
        timeout_s: Seconds until a host counts as unreachable.
        as_json: Whether programs read the output.
    """

    seeds: list[OperatorEndpoint]
    only: bool
    timeout_s: float
    as_json: bool


class UnansweredHost(NamedTuple):
    """A host that gave no answer, and why."""

    host: str
    text: str


def parse_endpoint(text: str) -> OperatorEndpoint:
    """Return the operator at ``ADDRESS:PORT``.

    Raises:
        click.BadParameter: The text has another form.

    Examples:
        >>> parse_endpoint("[::1]:7003")
        OperatorEndpoint(host='[::1]:7003', address='::1', port=7003)
    """
    address, colon, port = text.rpartition(":")
    if not colon or not address or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(f"found {text!r}, allowed ADDRESS:PORT")
    return OperatorEndpoint(text, address.strip("[]"), int(port))


def read_endpoint(path: str) -> OperatorEndpoint:
    """Return the operator of the host whose settings file this is.

    Raises:
        click.UsageError: The file is refused.
    """
    result = read_settings(path)
    if result.is_error():
        raise click.UsageError(result.error.text)
    settings = result.ok
    return OperatorEndpoint(
        settings["host"], settings["address"], settings["operator_port"]
    )


def add_query_options(command: Callable) -> Callable:
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
        seeds = [read_endpoint(path) for path in settings]
        seeds += [parse_endpoint(text) for text in operator]
        seeds = list(dict.fromkeys(seeds))
        if not seeds:
            raise click.UsageError("Name a host with --settings or --operator.")
        return command(QueryOptions(seeds, only, timeout, as_json), **arguments)

    return wrapped


def open_session(options: QueryOptions) -> ClientSession:
    """Return an HTTP session with the question's timeout."""
    return ClientSession(timeout=ClientTimeout(total=options.timeout_s))


def query_fleet(
    options: QueryOptions,
    path: str,
    schema: type,
    hosts: Sequence[str] = (),
    **query: str | int,
) -> list[QueryOutcome]:
    """Ask all hosts, or those with the names given, and return their replies.

    A name that is in no list of hosts gets a failure for a reply.
    """

    async def run() -> list[QueryOutcome]:
        async with open_session(options) as session:
            directory = await load_directory(session, options)
            asked = select_endpoints(directory, hosts)
            replies = await query_hosts(session, asked, path, schema, **query)
            return replies + list_unknown_hosts(directory, hosts)

    return run_coroutine(run())


async def load_directory(
    session: ClientSession, options: QueryOptions
) -> HostDirectory:
    """Return the hosts that may be asked."""
    if options.only:
        return HostDirectory(options.seeds, is_complete=True)
    return await discover_hosts(session, options.seeds)


def select_endpoints(
    directory: HostDirectory, hosts: Sequence[str]
) -> list[OperatorEndpoint]:
    """Return the hosts with the names given, all if no names are given."""
    return [each for each in directory.endpoints if not hosts or each.host in hosts]


def list_unknown_hosts(
    directory: HostDirectory, hosts: Sequence[str] = ()
) -> list[QueryOutcome]:
    """Return failures for the hosts whose addresses are not known."""
    names = [operator.host for operator in directory.endpoints]
    unknown = [host for host in hosts if host not in names]
    if not directory.is_complete and not hosts:
        unknown = [OTHER_HOSTS]
    failure = Failure(Code.PEER_UNREACHABLE, "in no list of hosts that could be read")
    return [
        QueryOutcome(OperatorEndpoint(host, "", 0), Error(failure)) for host in unknown
    ]


def list_responses(outcomes: Sequence[QueryOutcome]) -> list[Any]:
    """Return the answers among the replies."""
    return [reply.result.ok for reply in outcomes if reply.result.is_ok()]


def list_unanswered_hosts(outcomes: Sequence[QueryOutcome]) -> list[UnansweredHost]:
    """Return the hosts that gave no answer."""
    return [
        UnansweredHost(reply.endpoint.host, reply.result.error.text)
        for reply in outcomes
        if reply.result.is_error()
    ]


def print_unanswered_hosts(unanswered: Sequence[UnansweredHost]) -> None:
    """Print a table of the hosts that gave no answer, if there are any."""
    if unanswered:
        click.echo()
        print_table(["NO ANSWER FROM", "WHY"], unanswered)


def exit_with_status(unanswered: Sequence[UnansweredHost]) -> NoReturn:
    """End the command with the exit status that the replies call for."""
    raise SystemExit(1 if unanswered else 0)
