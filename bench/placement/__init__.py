"""Measures placement decisions against simpler routers and an oracle.

All run the same seeded workload on ``ManualTimers``: chats that return after
pauses, a surge of two large workspaces, and engines that are replaced. Run it
with ``python -m bench.placement``, or with ``--size fleet`` for the size to
come.
"""

from bench.placement.owners import OwnerRouter, OwnerWithoutMigrationRouter
from bench.placement.routers import (
    AffinityRouter,
    BoundedRouter,
    OracleRouter,
    RandomRouter,
    SharesRouter,
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
        BoundedRouter,
        SharesRouter,
        OracleRouter,
        OwnerRouter,
        OwnerWithoutMigrationRouter,
    )
}


def run_scenario(scenario: Scenario, router: str) -> Report:
    """Run a scenario with the router of a name and return its report."""
    return World(scenario, ROUTERS[router]).run()
