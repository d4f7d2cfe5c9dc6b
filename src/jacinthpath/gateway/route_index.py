"""Finds the route of a request, and the service of a split route."""

from __future__ import annotations

__all__ = ["RouteIndex", "SmoothWeightedRoundRobin"]

from random import Random

from .capacity.coordinated import coordinated_services
from .model import Route, RouteTable


class RouteIndex:
    """Routes by host; the longest matching path prefix wins.

    :ivar coordinated: services whose slots are lent by coordinators.
    :ivar bounds_cold_servers: whether a service bounds the rate at its cold servers.
    """

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self.coordinated = coordinated_services(table)
        self.bounds_cold_servers = any(
            service.warmup_rate_per_s for service in table.services.values()
        )
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request.

        :param host: value of the ``Host`` field; a port is ignored.
        :param path: path without the query.
        """
        hostname, colon, port = host.rpartition(":")
        if colon and port.isdigit():
            host = hostname
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


START_CHOICES = 64
"""A host starts with up to this many choices made, at a random place of the cycle."""


class SmoothWeightedRoundRobin:
    """Distributes the requests of a split route by weight.

    Each request credits every service with its weight, and the service with the most
    credit is chosen, so the counts stay within about one request of the weights. Hosts
    start at different places of the cycle: with few requests for each of many hosts,
    all would choose the heaviest service otherwise.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._credit: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        if not any(target.weight > 0 for target in route.weighted_services):
            return route.weighted_services[0].service
        credit = self._credit.get(route.name)
        if credit is None:
            credit = self._credit[route.name] = {}
            for _ in range(self._random.randrange(START_CHOICES)):
                _choose_by_credit(route, credit)
        return _choose_by_credit(route, credit)


def _choose_by_credit(route: Route, credit: dict[str, float]) -> str:
    """Return the service with the most credit, and charge it for the request."""
    total = sum(target.weight for target in route.weighted_services)
    for service in [*credit]:
        if all(target.service != service for target in route.weighted_services):
            del credit[service]
    for target in route.weighted_services:
        credit[target.service] = credit.get(target.service, 0.0) + target.weight / total
    candidates = (
        target.service for target in route.weighted_services if target.weight > 0
    )
    chosen = max(candidates, key=credit.__getitem__)
    credit[chosen] -= 1.0
    return chosen
