"""The ``status`` command: the state of hosts."""

import time
from collections.abc import Sequence
from typing import get_args

import click

from oleanderpier.cli.queries import (
    QueryOptions,
    add_query_options,
    exit_with_status,
    list_responses,
    list_unanswered_hosts,
    print_unanswered_hosts,
    query_fleet,
)
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.configuration import DocumentName
from oleanderpier.operators import StatusResponse

__all__ = ["status"]

UNHEALTHY_STATES = ("suspect", "dead")
DOCUMENT_NAMES = get_args(DocumentName)
HEADERS = [
    "HOST",
    "DOMAIN",
    "STATE",
    "UP_S",
    "IN_PROGRESS",
    *map(str.upper, DOCUMENT_NAMES),
    "NOTES",
]


@click.command()
@click.argument("hosts", nargs=-1, metavar="[HOST]...")
@add_query_options
def status(options: QueryOptions, hosts: tuple[str, ...]) -> None:
    """Show the state of each HOST, or of all hosts.

    The columns named after documents show the versions in force. If hosts are
    named, their records of other hosts and of backend servers are shown too.
    """
    outcomes = query_fleet(options, "/v1/status", StatusResponse, hosts)
    responses = list_responses(outcomes)
    unanswered = list_unanswered_hosts(outcomes)
    if options.as_json:
        print_json({"answers": responses, "unanswered": unanswered})
        exit_with_status(unanswered)
    print_table(HEADERS, [make_row(response) for response in responses])
    if hosts:
        print_details(responses)
    print_unanswered_hosts(unanswered)
    exit_with_status(unanswered)


def make_row(response: StatusResponse) -> list[str | int]:
    """Return the table row of a host."""
    versions = [
        response["versions"].get(name, {}).get("version", "-")
        for name in DOCUMENT_NAMES
    ]
    return [
        response["host"],
        response["failure_domain"],
        response["state"],
        round(time.time() - response["started_s"]),
        response["in_progress"],
        *versions,
        make_notes(response),
    ]


def make_notes(response: StatusResponse) -> str:
    """Return the refused documents and unhealthy members that a host names."""
    notes = [
        f"refused {document['name']}: {document['text']}"
        for document in response["refused_documents"]
    ]
    notes += [
        f"{member['host']} is {member['state']}"
        for member in response["members"]
        if member["state"] in UNHEALTHY_STATES
    ]
    return "; ".join(notes)


def print_details(responses: Sequence[StatusResponse]) -> None:
    """Print each host's records of other hosts and of backend servers."""
    members = [
        (response["host"], member["host"], member["state"])
        for response in responses
        for member in response["members"]
    ]
    backend_servers = [
        (response["host"], server["name"], server["state"], server["in_flight"])
        for response in responses
        for server in response["backend_servers"]
    ]
    click.echo()
    print_table(["HOST", "OTHER HOST", "STATE"], members)
    click.echo()
    print_table(["HOST", "BACKEND SERVER", "STATE", "IN_FLIGHT"], backend_servers)
