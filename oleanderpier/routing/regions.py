"""Data residency: the regions whose servers a request may reach.

The module addresses this load pattern: the servers of one region are full or gone, and
the nearest free ones are in a region that the request's data must not enter.
"""

from oleanderpier.routing.records import Route, WorkspaceEntry

__all__ = ["combine_regions"]


def combine_regions(
    route: Route, workspace: WorkspaceEntry | None
) -> frozenset[str] | None:
    """Return the regions that a request may reach, None if all.

    The restrictions of the route and of the workspace both apply, so that the result
    may be empty.

    Args:
        route: The route of the request.
        workspace: The workspace of the caller, if it has one.
    """
    restrictions = [
        frozenset(entry.allowed_regions)
        for entry in (route, workspace)
        if entry is not None and entry.allowed_regions
    ]
    return frozenset.intersection(*restrictions) if restrictions else None
