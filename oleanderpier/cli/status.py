"""The command that shows the state of hosts."""

import time
from collections.abc import Sequence
from typing import get_args

import click

from oleanderpier.cli.questions import (
    Question,
    add_options,
    ask,
    end,
    list_answers,
    list_unanswered,
    print_unanswered,
)
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.configuration import DocumentName
from oleanderpier.operators import StatusResponse

__all__ = ["status"]

NOTABLE_STATES = ("suspect", "dead")
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
@add_options
def status(question: Question, hosts: tuple[str, ...]) -> None:
    """Show the state of each HOST, or of all hosts.

    The columns named after documents hold the versions in force. A host that
    is named is shown with what it believes of others and of backend servers.
    """
    replies = ask(question, "/v1/status", StatusResponse, hosts)
    answers = list_answers(replies)
    unanswered = list_unanswered(replies)
    if question.as_json:
        print_json({"answers": answers, "unanswered": unanswered})
        end(unanswered)
    print_table(HEADERS, [make_row(answer) for answer in answers])
    if hosts:
        print_details(answers)
    print_unanswered(unanswered)
    end(unanswered)


def make_row(answer: StatusResponse) -> list[str | int]:
    """Return a host's row in the table."""
    versions = [
        answer["versions"].get(name, {}).get("version", "-") for name in DOCUMENT_NAMES
    ]
    return [
        answer["host"],
        answer["failure_domain"],
        answer["state"],
        round(time.time() - answer["started_s"]),
        answer["in_progress"],
        *versions,
        make_notes(answer),
    ]


def make_notes(answer: StatusResponse) -> str:
    """Return what an operator should look into on a host."""
    notes = [
        f"refused {document['name']}: {document['text']}"
        for document in answer["refused_documents"]
    ]
    notes += [
        f"{member['host']} is {member['state']}"
        for member in answer["members"]
        if member["state"] in NOTABLE_STATES
    ]
    return "; ".join(notes)


def print_details(answers: Sequence[StatusResponse]) -> None:
    """Print what each host believes of other hosts and backend servers."""
    members = [
        (answer["host"], member["host"], member["state"])
        for answer in answers
        for member in answer["members"]
    ]
    backend_servers = [
        (answer["host"], server["name"], server["state"], server["in_flight"])
        for answer in answers
        for server in answer["backend_servers"]
    ]
    click.echo()
    print_table(["HOST", "SEES HOST", "STATE"], members)
    click.echo()
    print_table(["HOST", "BACKEND SERVER", "STATE", "IN_FLIGHT"], backend_servers)
