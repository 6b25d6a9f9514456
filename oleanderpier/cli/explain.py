"""The ``explain`` command: where a chat would be placed, and why."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import click

from oleanderpier.cli.queries import (
    QueryOptions,
    add_query_options,
    exit_with_status,
    list_unanswered_hosts,
    print_unanswered_hosts,
    query_fleet,
)
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.operators import ExplainResponse, QueryOutcome

__all__ = ["explain"]

CHOICE_HEADERS = ["RANK", "BACKEND SERVER", "STATE", "IN_FLIGHT", "REASON"]


class OwnerGroup(NamedTuple):
    """The hosts that agree on a chat's owner, with one host's response for all.

    Attributes:
        hosts: Names of the hosts.
        informed: Name of the host whose response is shown: the owner if it is one
            of the hosts, as only the owner knows the load of each choice.
        answer: The response of that host.
    """

    hosts: list[str]
    informed: str
    answer: ExplainResponse


@click.command()
@click.option("--chat", required=True, help="Id of the chat.")
@click.option("--class", "work_class", required=True, help="Name of the class of work.")
@add_query_options
def explain(options: QueryOptions, chat: str, work_class: str) -> None:
    """Explain where a chat would go now, and why.

    All hosts are queried, as only the chat's owner knows the load of each
    choice. Hosts that agree on the owner are shown as one group; more than
    one group means that their records of hosts differ.
    """
    query = {"chat": chat, "class": work_class}
    outcomes = query_fleet(options, "/v1/explain", ExplainResponse, **query)
    unanswered = list_unanswered_hosts(outcomes)
    groups = group_by_owner(outcomes)
    if options.as_json:
        print_json({"groups": groups, "unanswered": unanswered})
        exit_with_status(unanswered)
    for group in groups:
        print_group(group)
    print_unanswered_hosts(unanswered)
    exit_with_status(unanswered)


def group_by_owner(outcomes: Iterable[QueryOutcome]) -> list[OwnerGroup]:
    """Return the valid responses grouped by the owner they name, largest first."""
    outcomes_by_owner: dict[str, list[QueryOutcome]] = defaultdict(list)
    for outcome in outcomes:
        if outcome.result.is_ok():
            outcomes_by_owner[outcome.result.ok["owner"]].append(outcome)
    groups = [
        make_owner_group(owner, outcomes_by_owner[owner]) for owner in outcomes_by_owner
    ]
    return sorted(groups, key=lambda group: -len(group.hosts))


def make_owner_group(owner: str, outcomes: Sequence[QueryOutcome]) -> OwnerGroup:
    """Return the group of the hosts whose responses name the given owner."""
    hosts = [outcome.endpoint.host for outcome in outcomes]
    informed = outcomes[hosts.index(owner)] if owner in hosts else outcomes[0]
    return OwnerGroup(hosts, informed.endpoint.host, informed.result.ok)


def describe_chosen(group: OwnerGroup) -> str:
    """Return the chosen backend server's name, or why there is none."""
    response = group.answer
    if response["chosen"] is not None:
        return response["chosen"]
    if group.informed != response["owner"]:
        return "not known, as the owner did not answer"
    return "none, the request would be refused"


def print_group(group: OwnerGroup) -> None:
    """Print a group's owner and chosen server, with the table of the choices."""
    response = group.answer
    click.echo(f"hosts:   {', '.join(group.hosts)}")
    click.echo(f"chat:    {response['chat']}")
    click.echo(f"class:   {response['work_class']}, which needs {response['pool']}")
    click.echo(f"owner:   {response['owner']}")
    click.echo(f"chosen:  {describe_chosen(group)}")
    print_table(CHOICE_HEADERS, make_choice_rows(response))
    click.echo()


def make_choice_rows(response: ExplainResponse) -> list[Sequence[str | int]]:
    """Return the table rows of the choices, the most preferred first."""
    choices = sorted(response["choices"], key=lambda choice: choice["rank"])
    return [
        (
            choice["rank"],
            choice["backend_server"],
            choice["state"],
            choice["in_flight"],
            choice["reason"],
        )
        for choice in choices
    ]
