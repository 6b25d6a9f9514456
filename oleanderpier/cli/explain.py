"""The command that explains where a chat goes."""

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
    """Hosts that agree on the owner, and the answer of the best informed.

    Attributes:
        informed: The host that gave the answer, the owner if it is among them.
    """

    hosts: list[str]
    informed: str
    answer: ExplainResponse


@click.command()
@click.option("--chat", required=True, help="The chat.")
@click.option("--class", "work_class", required=True, help="The class of work.")
@add_query_options
def explain(options: QueryOptions, chat: str, work_class: str) -> None:
    """Explain where a chat would go now, and why.

    All hosts are asked, as only the owner knows the load of each choice.
    Those that agree on the owner are shown together; more than one group
    means that hosts differ in what they know.
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
    """Return the answers in groups that agree, the largest group first."""
    outcomes_by_owner: dict[str, list[QueryOutcome]] = defaultdict(list)
    for reply in outcomes:
        if reply.result.is_ok():
            outcomes_by_owner[reply.result.ok["owner"]].append(reply)
    groups = [
        make_owner_group(owner, outcomes_by_owner[owner]) for owner in outcomes_by_owner
    ]
    return sorted(groups, key=lambda group: -len(group.hosts))


def make_owner_group(owner: str, outcomes: Sequence[QueryOutcome]) -> OwnerGroup:
    """Return the group of the hosts that take one host for the owner."""
    hosts = [reply.endpoint.host for reply in outcomes]
    informed = outcomes[hosts.index(owner)] if owner in hosts else outcomes[0]
    return OwnerGroup(hosts, informed.endpoint.host, informed.result.ok)


def describe_chosen(group: OwnerGroup) -> str:
    """Return which backend server is chosen, or why there is none to name."""
    response = group.answer
    if response["chosen"] is not None:
        return response["chosen"]
    if group.informed != response["owner"]:
        return "not known, for the owner did not answer"
    return "none; the request would be refused"


def print_group(group: OwnerGroup) -> None:
    """Print what hosts agree on, with the choices that the owner sees."""
    response = group.answer
    click.echo(f"asked:   {', '.join(group.hosts)}")
    click.echo(f"chat:    {response['chat']}")
    click.echo(f"class:   {response['work_class']}, which needs {response['pool']}")
    click.echo(f"owner:   {response['owner']}")
    click.echo(f"chosen:  {describe_chosen(group)}")
    print_table(CHOICE_HEADERS, make_choice_rows(response))
    click.echo()


def make_choice_rows(response: ExplainResponse) -> list[Sequence[str | int]]:
    """Return the table rows of the choices, best first."""
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
