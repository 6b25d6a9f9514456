"""Command line of the placement benchmark."""

import json

import click

from bench.placement import FLEET, ROUTERS, USERS, Report, run_scenario
from bench.placement.cost import measure_cost

SIZES = {"users": USERS, "fleet": FLEET}
FLEET_ROUTERS = ("random", "two choices", "oracle", "pool owners")
# Planned load of one host.
PLANNED_REQUESTS_PER_S = 29.0


@click.command()
@click.option("--size", type=click.Choice(list(SIZES)), default="users")
@click.option("--router", "routers", type=click.Choice(list(ROUTERS)), multiple=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--owner-killed-s",
    type=float,
    help="Time at which the owner of the first pool is killed.",
)
@click.option("--cost", is_flag=True, help="Only measure processor time.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON for programs.")
def main(
    size: str,
    routers: tuple[str, ...],
    seed: int,
    owner_killed_s: float | None,
    cost: bool,
    as_json: bool,
) -> None:
    """Compare routers on the same seeded workload."""
    if cost:
        _print_cost()
        return
    scenario = SIZES[size]._replace(seed=seed, owner_killed_s=owner_killed_s)
    default = tuple(ROUTERS) if size == "users" else FLEET_ROUTERS
    reports = [run_scenario(scenario, name) for name in routers or default]
    if as_json:
        click.echo(json.dumps([report._asdict() for report in reports], indent=1))
        return
    click.echo(f"size {size}, seed {seed}")
    _print_table(reports)


def _print_cost() -> None:
    cost = measure_cost()
    ratio = cost.routed_us / cost.ranking_us
    click.echo(f"routed request     {cost.routed_us:.0f} us, entry host plus owner")
    click.echo(f"ranking 9 engines  {cost.ranking_us:.1f} us, ratio {ratio:.1f}")


def _print_table(reports: list[Report]) -> None:
    oracle = {report.router: report for report in reports}.get("oracle")
    rows = [_describe_report(report, oracle) for report in reports]
    for title in rows[0]:
        cells = "".join(f"{row[title]:>16}" for row in rows)
        click.echo(f"{title:<30}{cells}")


def _describe_report(report: Report, oracle: Report | None) -> dict[str, str]:
    def format_percents(parts: dict[str, float]) -> str:
        return " / ".join(f"{100 * part:.1f}" for part in parts.values())

    per_request = report.control_bytes_a_request
    return {
        "router": report.router[:15],
        "requests": str(report.requests),
        "reuse": f"{report.reuse:.3f}",
        "reuse / oracle": f"{report.reuse / oracle.reuse:.3f}" if oracle else "",
        "max/mean p50": f"{report.ratio_p50:.3f}",
        "max/mean p99": f"{report.ratio_p99:.3f}",
        "max/mean worst": f"{report.ratio_worst:.3f}",
        "max/mean worst, all engines": f"{report.ratio_all:.3f}",
        "samples": str(report.samples),
        "over ceil(1.25 mean)": str(report.over_bound),
        "over 1.25 mean": str(report.over_unrounded),
        "  still after 10 ms": str(report.stayed_over),
        "migrated %": f"{100 * report.migrated:.2f}",
        "refused % quick / review": format_percents(report.refused),
        "late % quick / review": format_percents(report.late),
        "surge: quiet on time %": f"{100 * report.quiet_on_time:.1f}",
        "surge: surging on time %": f"{100 * report.surging_on_time:.1f}",
        "requests/s a host": f"{report.requests_a_host:.2f}",
        "control bytes/s a host": f"{report.control_bytes:.0f}",
        "control bytes a request": f"{per_request:.0f}",
        "bytes/s a host at 29 req/s": f"{per_request * PLANNED_REQUESTS_PER_S:.0f}",
    }


if __name__ == "__main__":
    main()
