"""Command line of the emulator: runs load patterns and compares routing policies."""

from pathlib import Path

import click
import msgspec

from bench.emulator.outcomes import WINDOW_S, Outcome
from bench.emulator.patterns import list_patterns, read_pattern
from bench.emulator.policies import POLICIES
from bench.emulator.worlds import run_pattern
from oleanderpier.cli.tables import print_table

HEADERS = [
    "PATTERN",
    "POLICY",
    "REQUESTS",
    "ON TIME",
    "SERVED",
    "WORST WINDOW",
    "P95 S",
    "READ AGAIN",
    "COPIED",
    "OVER LIMIT",
    "WORST 5 S",
    "CHOICE US",
    "UNWANTED",
    "REFUSED SENDS",
    "FAILED",
]


@click.command()
@click.argument("patterns", nargs=-1, type=click.Choice(list_patterns()))
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(list(POLICIES)),
    help="Routing policies to compare; all by default.",
)
@click.option(
    "--seeds", default=3, show_default=True, help="Runs per pattern and policy."
)
@click.option(
    "--json",
    "json_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write the results of each run to this JSON file.",
)
@click.option(
    "--plot",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Plot the on-time ratio over time to this SVG file.",
)
def main(
    patterns: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: int,
    json_path: Path | None,
    plot: Path | None,
) -> None:
    """Run load PATTERNS, all by default, and print a table of means over seeds."""
    outcomes: dict[tuple[str, str], list[Outcome]] = {}
    for name in patterns or list_patterns():
        pattern = read_pattern(name)
        for policy in policies or POLICIES:
            outcomes[name, policy] = [
                run_pattern(pattern, POLICIES[policy], seed) for seed in range(seeds)
            ]
    print_table(HEADERS, [_make_row(*key, runs) for key, runs in outcomes.items()])
    if json_path is not None:
        record = {
            f"{name} {policy}": [run._asdict() for run in runs]
            for (name, policy), runs in outcomes.items()
        }
        json_path.write_bytes(msgspec.json.format(msgspec.json.encode(record)))
    if plot is not None:
        plot.write_bytes(_draw(outcomes))


def _make_row(name: str, policy: str, runs: list[Outcome]) -> list[str]:
    def mean(field: str) -> float:
        return sum(getattr(run, field) for run in runs) / len(runs)

    worst = min(run.worst_window for run in runs)
    return [
        name,
        policy,
        f"{mean('requests'):.0f}",
        f"{mean('on_time'):.3f}",
        f"{mean('served'):.3f}",
        f"{worst:.3f}",
        f"{mean('p95_s'):.3f}",
        f"{mean('read_again'):.0f}",
        f"{mean('copied'):.0f}",
        f"{mean('over_limit'):.4f}",
        f"{max(run.worst_over_limit for run in runs):.4f}",
        f"{mean('choice_us'):.0f}",
        f"{mean('unwanted'):.4f}",
        f"{mean('refused_sends'):.4f}",
        f"{mean('failed'):.4f}",
    ]


def _draw(outcomes: dict[tuple[str, str], list[Outcome]]) -> bytes:
    import pygal

    chart = pygal.Line(title="Ratio of worth served on time", js=[], show_dots=False)
    points = max(len(runs[0].windows) for runs in outcomes.values())
    chart.x_labels = [f"{index * WINDOW_S:.0f}" for index in range(points)]
    for (name, policy), runs in outcomes.items():
        columns = zip(*(run.windows for run in runs), strict=True)
        chart.add(f"{name} {policy}", [sum(c) / len(c) for c in columns])
    return chart.render()


if __name__ == "__main__":
    main()
