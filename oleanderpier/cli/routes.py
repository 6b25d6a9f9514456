"""The command that explains where a chat goes."""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import click

from oleanderpier.cli.questions import (
    Question,
    add_options,
    ask,
    end,
    list_unanswered,
    print_unanswered,
)
from oleanderpier.cli.tables import print_json, print_table
from oleanderpier.operators import ExplainResponse, Reply

__all__ = ["explain"]

CHOICE_HEADERS = ["RANK", "BACKEND SERVER", "STATE", "IN_FLIGHT", "REASON"]


class Group(NamedTuple):
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
@add_options
def explain(question: Question, chat: str, work_class: str) -> None:
    """Explain where a chat would go now, and why.

    All hosts are asked, as only the owner knows the load of each choice.
    Those that agree on the owner are shown together; more than one group
    means that hosts differ in what they know.
    """
    query = {"chat": chat, "class": work_class}
    replies = ask(question, "/v1/explain", ExplainResponse, **query)
    unanswered = list_unanswered(replies)
    groups = group_answers(replies)
    if question.as_json:
        print_json({"groups": groups, "unanswered": unanswered})
        end(unanswered)
    for group in groups:
        print_group(group)
    print_unanswered(unanswered)
    end(unanswered)


def group_answers(replies: Iterable[Reply]) -> list[Group]:
    """Return the answers in groups that agree, the largest group first."""
    members: dict[str, list[Reply]] = defaultdict(list)
    for reply in replies:
        if reply.result.is_ok():
            members[reply.result.ok["owner"]].append(reply)
    groups = [make_group(owner, members[owner]) for owner in members]
    return sorted(groups, key=lambda group: -len(group.hosts))


def make_group(owner: str, members: Sequence[Reply]) -> Group:
    """Return the group of the hosts that take one host for the owner."""
    hosts = [reply.operator.host for reply in members]
    informed = members[hosts.index(owner)] if owner in hosts else members[0]
    return Group(hosts, informed.operator.host, informed.result.ok)


def describe_chosen(group: Group) -> str:
    """Return which backend server is chosen, or why there is none to name."""
    answer = group.answer
    if answer["chosen"] is not None:
        return answer["chosen"]
    if group.informed != answer["owner"]:
        return "not known, for the owner did not answer"
    return "none; the request would be refused"


def print_group(group: Group) -> None:
    """Print what hosts agree on, with the choices that the owner sees."""
    answer = group.answer
    click.echo(f"asked:   {', '.join(group.hosts)}")
    click.echo(f"chat:    {answer['chat']}")
    click.echo(f"class:   {answer['work_class']}, which needs {answer['pool']}")
    click.echo(f"owner:   {answer['owner']}")
    click.echo(f"chosen:  {describe_chosen(group)}")
    print_table(CHOICE_HEADERS, list_choices(answer))
    click.echo()


def list_choices(answer: ExplainResponse) -> list[Sequence[str | int]]:
    """Return the table rows of the choices, best first."""
    choices = sorted(answer["choices"], key=lambda choice: choice["rank"])
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
