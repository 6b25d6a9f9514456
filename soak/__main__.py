"""``python -m soak``: runs seeds in parallel and reports violated guarantees."""

import asyncio
import json
import tempfile
from pathlib import Path

import click

from soak.checks import Violation, find_violations
from soak.observations import Observations
from soak.runs import SoakSettings, run_seed

HOST_PROGRAMS = {
    "product": ("oleanderpier.platform",),
    "resend": ("soak.naive", "resend"),
    "no_drain": ("soak.naive", "no_drain"),
}


@click.command()
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--seeds", default=1, show_default=True, help="Number of seeds.")
@click.option("--hosts", default=4, show_default=True, help="Entry hosts per run.")
@click.option(
    "--servers", default=4, show_default=True, help="Backend servers per run."
)
@click.option("--callers", default=8, show_default=True, help="Callers per run.")
@click.option(
    "--keeping-callers",
    default=48,
    show_default=True,
    help="Further callers per run, with one kept connection each.",
)
@click.option("--planned", is_flag=True, help="Nothing but planned work.")
@click.option(
    "--seconds", default=12.0, show_default=True, help="Duration of the faults."
)
@click.option("--jobs", default=2, show_default=True, help="Runs in parallel.")
@click.option(
    "--program",
    type=click.Choice(sorted(HOST_PROGRAMS)),
    default="product",
    show_default=True,
    help="Program of the hosts; all but the product are expected to fail.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the logs and schedules of failed seeds.",
)
def soak(
    first: int,
    seeds: int,
    hosts: int,
    servers: int,
    callers: int,
    keeping_callers: int,
    planned: bool,
    seconds: float,
    jobs: int,
    program: str,
    keep: Path | None,
) -> None:
    """Run the faults of several seeds against fleets on loopback.

    The exit status is 1 if a guarantee was violated.
    """

    async def run_one(seed: int, job_slots: asyncio.Semaphore) -> bool:
        async with job_slots:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                settings = SoakSettings(
                    hosts,
                    servers,
                    callers,
                    seconds,
                    HOST_PROGRAMS[program],
                    folder,
                    keeping_callers,
                    planned,
                )
                observations = await run_seed(seed, settings)
                violations = find_violations(observations)
                _print_summary(seed, observations, violations)
                if violations and keep is not None:
                    _save_failure(
                        keep / f"seed-{seed}", seed, settings, observations, violations
                    )
        return not violations

    async def run_all() -> list[bool]:
        job_slots = asyncio.Semaphore(jobs)
        seed_range = range(first, first + seeds)
        return await asyncio.gather(*(run_one(seed, job_slots) for seed in seed_range))

    passed = asyncio.run(run_all())
    click.echo(f"{len(passed)} seeds, {passed.count(False)} with violations")
    if not all(passed):
        raise SystemExit(1)


def _print_summary(
    seed: int, observations: Observations, violations: list[Violation]
) -> None:
    served = sum(request.status == 200 for request in observations.requests)
    click.echo(
        f"seed {seed}: {len(observations.faults)} faults, {len(observations.requests)} "
        f"requests, {served} served, {len(violations)} violations"
    )
    for violation in violations[:10]:
        click.echo(f"  {violation.guarantee}: {violation.text}")


def _save_failure(
    target: Path,
    seed: int,
    settings: SoakSettings,
    observations: Observations,
    violations: list[Violation],
) -> None:
    """Save the logs, the violations, the schedule and the faults of a failed run."""
    target.mkdir(parents=True, exist_ok=True)
    for path in settings.log_folder.iterdir():
        (target / path.name).write_bytes(path.read_bytes())
    schedule = [
        {**fault._asdict(), "kind": fault.kind.value}
        for fault in settings.make_schedule(seed)
    ]
    injected = [
        {**fault._asdict(), "kind": fault.kind.value} for fault in observations.faults
    ]
    record = {
        "seed": seed,
        "findings": violations,
        "schedule": schedule,
        "injected": injected,
    }
    (target / "run.json").write_text(json.dumps(record, indent=1))


if __name__ == "__main__":
    soak()
