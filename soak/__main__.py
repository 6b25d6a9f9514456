"""``python -m soak``: runs seeds, several at a time, and tells what broke."""

import asyncio
import json
import tempfile
from pathlib import Path

import click

from soak.checks import Finding, find_breaches
from soak.evidence import Evidence
from soak.runs import SoakSettings, run_seed
from soak.schedule import make_schedule

PROGRAMS = {
    "product": ("oleanderpier.platform",),
    "resend": ("soak.naive", "resend"),
    "no_drain": ("soak.naive", "no_drain"),
}


@click.command()
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", default=1, show_default=True, help="How many seeds.")
@click.option("--hosts", default=4, show_default=True, help="Entry hosts a run.")
@click.option("--servers", default=4, show_default=True, help="Servers a run.")
@click.option("--callers", default=8, show_default=True, help="Callers a run.")
@click.option(
    "--seconds", default=12.0, show_default=True, help="How long faults come."
)
@click.option("--jobs", default=2, show_default=True, help="Runs at a time.")
@click.option(
    "--program",
    type=click.Choice(sorted(PROGRAMS)),
    default="product",
    show_default=True,
    help="What the hosts run; all but the product have to fail.",
)
@click.option(
    "--keep",
    type=click.Path(file_okay=False, path_type=Path),
    help="Keep logs and schedules of seeds that failed in this folder.",
)
def soak(
    first: int,
    seeds: int,
    hosts: int,
    servers: int,
    callers: int,
    seconds: float,
    jobs: int,
    program: str,
    keep: Path | None,
) -> None:
    """Run the faults of some seeds against fleets on loopback.

    Exit status 1 if a promise was broken.
    """

    async def run_one(seed: int, turns: asyncio.Semaphore) -> bool:
        async with turns:
            with tempfile.TemporaryDirectory() as name:
                folder = Path(name)
                settings = SoakSettings(
                    hosts, servers, callers, seconds, PROGRAMS[program], folder
                )
                evidence = await run_seed(seed, settings)
                findings = find_breaches(evidence)
                _tell(seed, evidence, findings)
                if findings and keep is not None:
                    _keep(keep / f"seed-{seed}", folder, seed, seconds, findings)
        return not findings

    async def run_all() -> list[bool]:
        turns = asyncio.Semaphore(jobs)
        numbers = range(first, first + seeds)
        return await asyncio.gather(*(run_one(seed, turns) for seed in numbers))

    sound = asyncio.run(run_all())
    click.echo(f"{len(sound)} seeds, {sound.count(False)} with a promise broken")
    if not all(sound):
        raise SystemExit(1)


def _tell(seed: int, evidence: Evidence, findings: list[Finding]) -> None:
    served = sum(attempt.status == 200 for attempt in evidence.attempts)
    click.echo(
        f"seed {seed}: {len(evidence.faults)} faults, {len(evidence.attempts)} "
        f"requests, {served} served, {len(findings)} findings"
    )
    for finding in findings[:10]:
        click.echo(f"  {finding.promise}: {finding.text}")


def _keep(
    target: Path, logs: Path, seed: int, seconds: float, findings: list[Finding]
) -> None:
    """Copy what explains a failure to a folder."""
    target.mkdir(parents=True, exist_ok=True)
    for path in logs.iterdir():
        (target / path.name).write_bytes(path.read_bytes())
    schedule = [
        {**fault._asdict(), "kind": fault.kind.value}
        for fault in make_schedule(seed, seconds)
    ]
    record = {"seed": seed, "findings": findings, "schedule": schedule}
    (target / "run.json").write_text(json.dumps(record, indent=1))


if __name__ == "__main__":
    soak()
