"""Simulation that compares placement by pool owners with simpler routers and an oracle.

All routers run the same seeded workload on ``ManualTimers``: chats that send their
next turn after a pause, a surge of two large workspaces, and engines that are replaced.
Run it with ``python -m bench.placement``, or with ``--size fleet`` for the planned
fleet size.
"""

from bench.placement.owners import OwnerRouter, OwnerWithoutMigrationRouter
from bench.placement.routers import (
    AffinityRouter,
    BoundedLoadRouter,
    LeasedSharesRouter,
    OracleRouter,
    RandomRouter,
    TwoChoicesRouter,
)
from bench.placement.scenarios import FLEET, USERS, Report, Scenario
from bench.placement.world import World

__all__ = ["FLEET", "ROUTERS", "USERS", "Report", "Scenario", "run_scenario"]

ROUTERS: dict[str, type] = {
    router.name: router
    for router in (
        RandomRouter,
        AffinityRouter,
        TwoChoicesRouter,
        BoundedLoadRouter,
        LeasedSharesRouter,
        OracleRouter,
        OwnerRouter,
        OwnerWithoutMigrationRouter,
    )
}


def run_scenario(scenario: Scenario, router: str) -> Report:
    """Run a scenario and return its report.

    Args:
        scenario: Sizes and events of the run.
        router: Name of the router, a key of ``ROUTERS``.
    """
    return World(scenario, ROUTERS[router]).run()
