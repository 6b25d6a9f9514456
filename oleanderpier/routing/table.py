"""Finds the route and the workspace of a request."""

from collections import defaultdict

from expression import Error, Ok, Result

from oleanderpier.results import Code, Failure
from oleanderpier.routing.records import Route, RoutingTable, WorkspaceEntry

__all__ = ["RouteIndex"]


class RouteIndex:
    """An index over a routing table, for lookups by host name and path.

    Args:
        table: The routing table.
    """

    def __init__(self, table: RoutingTable) -> None:
        self.table = table
        self._prefixes: dict[str, dict[str, Route]] = defaultdict(dict)
        for route in table.routes:
            self._prefixes[route.host_name][route.prefix] = route

    def find_route(self, host_name: str, path: str) -> Result[Route, Failure]:
        """Return the route with the longest prefix of the path.

        Args:
            host_name: The host name in the caller's request.
            path: The path without its query; prefixes end with a slash.

        Returns:
            The route, or a failure with code ``ROUTE_UNKNOWN``.
        """
        prefixes = self._prefixes.get(host_name)
        if prefixes:
            end = path.rfind("/")
            while end >= 0:
                route = prefixes.get(path[: end + 1])
                if route is not None:
                    return Ok(route)
                end = path.rfind("/", 0, end)
        return Error(Failure(Code.ROUTE_UNKNOWN, "no route begins the path"))

    def find_workspace(
        self, route: Route, credential: str | None
    ) -> Result[WorkspaceEntry | None, Failure]:
        """Return the workspace that a credential belongs to.

        Args:
            route: The route of the request.
            credential: The caller's credential, None if it sent none.

        Returns:
            The workspace; None if the configuration has no workspaces, or if the
            route is public and the credential unknown. Otherwise a failure with
            code ``CREDENTIAL_UNKNOWN``.
        """
        credentials = self.table.credentials
        if credentials is None:
            return Ok(None)
        workspace = credentials.get(credential or "")
        if workspace is None and not route.public:
            return Error(Failure(Code.CREDENTIAL_UNKNOWN, "no workspace has it"))
        return Ok(workspace)
