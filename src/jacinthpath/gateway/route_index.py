"""Finds the route of a request, and the service of a split route."""

from __future__ import annotations

__all__ = ["RouteIndex", "ShareCycle"]

from .model import Route, RouteTable


class RouteIndex:
    """Routes by host; the longest prefix that begins the path wins."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request.

        :param host: value of the ``Host`` field; a port is ignored.
        :param path: path without the query.
        """
        name, colon, port = host.rpartition(":")
        if colon and port.isdigit():
            host = name
        routes = self._hosts.get(host.lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class ShareCycle:
    """Deals requests of a split route out by weight.

    Each share is owed its weight with every request and the one that is owed most
    is chosen, so the counts follow the weights within one request.
    """

    def __init__(self) -> None:
        self._owed: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        total = sum(share.weight for share in route.weighted_services)
        if total <= 0:
            return route.weighted_services[0].service
        owed = self._owed.setdefault(route.name, {})
        for service in [*owed]:
            if all(share.service != service for share in route.weighted_services):
                del owed[service]
        for share in route.weighted_services:
            owed[share.service] = owed.get(share.service, 0.0) + share.weight / total
        candidates = (
            share.service for share in route.weighted_services if share.weight > 0
        )
        chosen = max(candidates, key=owed.__getitem__)
        owed[chosen] -= 1.0
        return chosen
