"""Options and helpers of the commands that query the operators' interface of hosts."""

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
OPERATOR_HELP = "Operator address of a host to query; may be repeated."
SETTINGS_HELP = "Settings file of a host to query; may be repeated."


class QueryOptions(NamedTuple):
    """Which hosts a command queries, and how it prints the responses.

    Attributes:
        seeds: The hosts named on the command line.
        only: Whether to query the seeds alone, without the hosts in their host list.
        timeout_s: Time limit of each request, in seconds.
        as_json: Whether to print JSON instead of tables.
    """

    seeds: list[OperatorEndpoint]
    only: bool
    timeout_s: float
    as_json: bool


class UnansweredHost(NamedTuple):
    """A host that sent no valid response.

    Attributes:
        host: The host's name or address.
        text: The reason.
    """

    host: str
    text: str


def parse_endpoint(text: str) -> OperatorEndpoint:
    """Return the endpoint of an operators' interface at ``ADDRESS:PORT``.

    Raises:
        click.BadParameter: The text has another form.

    Examples:
        >>> parse_endpoint("[::1]:7003")
        OperatorEndpoint(host='[::1]:7003', address='::1', port=7003)
    """
    address, colon, port = text.rpartition(":")
    if not colon or not address or not port.isdecimal() or int(port) > 65535:
        raise click.BadParameter(
            f"--operator: found {text!r}, allowed ADDRESS:PORT with a port up to 65535"
        )
    return OperatorEndpoint(text, address.strip("[]"), int(port))


def read_endpoint(path: str) -> OperatorEndpoint:
    """Return the endpoint of the operators' interface that a settings file names.

    Raises:
        click.UsageError: The settings file is invalid.
    """
    result = read_settings(path)
    if result.is_error():
        raise click.UsageError(result.error.text)
    settings = result.ok
    return OperatorEndpoint(
        settings["host"], settings["address"], settings["operator_port"]
    )


def add_query_options(command: Callable) -> Callable:
    """Add the options to a command that gets them as ``QueryOptions`` first.

    Args:
        command: A function whose first parameter is the ``QueryOptions``.
    """

    @click.option("--operator", multiple=True, metavar="IP:PORT", help=OPERATOR_HELP)
    @click.option(
        "--settings",
        multiple=True,
        type=click.Path(path_type=Path),
        metavar="FILE",
        help=SETTINGS_HELP,
    )
    @click.option("--only", is_flag=True, help="Query only the hosts named here.")
    @click.option(
        "--timeout",
        type=click.FloatRange(min=0.01),
        default=2.0,
        show_default=True,
        help="Time limit of a request to a host, in seconds.",
    )
    @click.option(
        "--json", "as_json", is_flag=True, help="Print JSON instead of tables."
    )
    @functools.wraps(command)
    def wrapped(operator, settings, only, timeout, as_json, **arguments: Any):
        seeds = [read_endpoint(path) for path in settings]
        seeds += [parse_endpoint(text) for text in operator]
        seeds = list(dict.fromkeys(seeds))
        if not seeds:
            raise click.UsageError(
                "no host to query; name at least one with --settings or --operator"
            )
        return command(QueryOptions(seeds, only, timeout, as_json), **arguments)

    return wrapped


def open_session(options: QueryOptions) -> ClientSession:
    """Return an HTTP session with the options' timeout."""
    return ClientSession(timeout=ClientTimeout(total=options.timeout_s))


def query_fleet(
    options: QueryOptions,
    path: str,
    schema: type,
    hosts: Sequence[str] = (),
    **query: str | int,
) -> list[QueryOutcome]:
    """Query all hosts, or those with the given names.

    Args:
        options: The seeds and the timeout.
        path: The URL path, such as ``/v1/status``.
        schema: The ``TypedDict`` that each response has to match.
        hosts: Names of the hosts to query; empty for all.
        query: The parameters of the URL's query string.

    Returns:
        The outcome of each host; a failure for a name that is in no host list.
    """

    async def run() -> list[QueryOutcome]:
        async with open_session(options) as session:
            directory = await load_directory(session, options)
            endpoints = select_endpoints(directory, hosts)
            outcomes = await query_hosts(session, endpoints, path, schema, **query)
            return outcomes + list_unknown_hosts(directory, hosts)

    return run_coroutine(run())


async def load_directory(
    session: ClientSession, options: QueryOptions
) -> HostDirectory:
    """Return the hosts to query: the seeds, and those that they list if allowed."""
    if options.only:
        return HostDirectory(options.seeds, is_complete=True)
    return await discover_hosts(session, options.seeds)


def select_endpoints(
    directory: HostDirectory, hosts: Sequence[str]
) -> list[OperatorEndpoint]:
    """Return the endpoints of the hosts with the given names, all if none is given."""
    return [
        endpoint
        for endpoint in directory.endpoints
        if not hosts or endpoint.host in hosts
    ]


def list_unknown_hosts(
    directory: HostDirectory, hosts: Sequence[str] = ()
) -> list[QueryOutcome]:
    """Return a failed outcome for each host whose address is not known.

    Args:
        directory: The known hosts.
        hosts: The names that the command line asks for. If there are none and the
            directory is incomplete, one outcome stands for all missing hosts.
    """
    names = [endpoint.host for endpoint in directory.endpoints]
    unknown = [host for host in hosts if host not in names]
    if not directory.is_complete and not hosts:
        unknown = [OTHER_HOSTS]
    failure = Failure(
        Code.PEER_UNREACHABLE, "address unknown: not in any host list that was read"
    )
    return [
        QueryOutcome(OperatorEndpoint(host, "", 0), Error(failure)) for host in unknown
    ]


def list_responses(outcomes: Sequence[QueryOutcome]) -> list[Any]:
    """Return the responses of the hosts that sent a valid one."""
    return [outcome.result.ok for outcome in outcomes if outcome.result.is_ok()]


def list_unanswered_hosts(outcomes: Sequence[QueryOutcome]) -> list[UnansweredHost]:
    """Return the hosts that sent no valid response, with the reasons."""
    return [
        UnansweredHost(outcome.endpoint.host, outcome.result.error.text)
        for outcome in outcomes
        if outcome.result.is_error()
    ]


def print_unanswered_hosts(unanswered: Sequence[UnansweredHost]) -> None:
    """Print a table of the hosts that sent no valid response, if there are any."""
    if unanswered:
        click.echo()
        print_table(["NO ANSWER FROM", "REASON"], unanswered)


def exit_with_status(unanswered: Sequence[UnansweredHost]) -> NoReturn:
    """Exit with status 1 if a host sent no valid response, else with 0."""
    raise SystemExit(1 if unanswered else 0)
