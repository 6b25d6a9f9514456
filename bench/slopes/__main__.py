"""The command line of the slopes."""

from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from bench.slopes.answers import measure_answers
from bench.slopes.calls import measure_calls
from bench.slopes.documents import measure_documents
from bench.slopes.hosts import measure_cuts, measure_hosts, measure_largest
from bench.slopes.leases import measure_leases
from bench.slopes.page import make_page
from bench.slopes.pools import count_pools, measure_pools
from bench.slopes.probes import measure_probes
from bench.slopes.roles import Found
from bench.slopes.streams import measure_overhead, measure_streams

WORKERS = 2
MEASUREMENTS = (
    measure_hosts,
    measure_cuts,
    measure_answers,
    measure_streams,
    measure_documents,
    measure_pools,
    measure_calls,
    measure_probes,
    measure_leases,
)


def measure_all() -> Found:
    """Run all measurements, two at a time."""
    with ProcessPoolExecutor(WORKERS) as workers:
        largest = workers.submit(measure_largest)
        running = [workers.submit(measure) for measure in MEASUREMENTS]
        slopes = {}
        for each in running:
            slopes.update(each.result())
        return Found(slopes, count_pools(), measure_overhead(), largest.result())


@click.command()
@click.option("--write", type=click.Path(path_type=Path), help="Write the page here.")
def main(write: Path | None) -> None:
    """Measure, and print the page for the size to come."""
    page = make_page(measure_all())
    click.echo(page, nl=False)
    if write is not None:
        write.write_text(page)


if __name__ == "__main__":
    main()
