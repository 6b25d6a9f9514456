"""Command line of the capacity measurements."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from bench.slopes.answers import measure_responses
from bench.slopes.calls import measure_calls
from bench.slopes.documents import measure_documents
from bench.slopes.hosts import measure_full_fleet, measure_hosts, measure_partitions
from bench.slopes.leases import measure_leases
from bench.slopes.page import format_page
from bench.slopes.pools import count_pools, measure_pools
from bench.slopes.probes import measure_probes
from bench.slopes.roles import Measurements
from bench.slopes.streams import compute_message_overhead, measure_streams

WORKER_COUNT = 2
MEASUREMENTS = (
    measure_hosts,
    measure_partitions,
    measure_responses,
    measure_streams,
    measure_documents,
    measure_pools,
    measure_calls,
    measure_probes,
    measure_leases,
)


def measure_all() -> Measurements:
    """Run all measurements, two at a time in processes of their own."""
    with ProcessPoolExecutor(WORKER_COUNT) as workers:
        full_fleet = workers.submit(measure_full_fleet)
        running = [workers.submit(measure) for measure in MEASUREMENTS]
        fits = {}
        for future in running:
            fits.update(future.result())
        return Measurements(
            fits, count_pools(), compute_message_overhead(), full_fleet.result()
        )


@click.command()
@click.option("--write", type=click.Path(path_type=Path), help="Also write it here.")
def main(write: Path | None) -> None:
    """Measure all costs and print the capacity page for the target size."""
    page = format_page(measure_all())
    click.echo(page, nl=False)
    if write is not None:
        write.write_text(page)


if __name__ == "__main__":
    main()
