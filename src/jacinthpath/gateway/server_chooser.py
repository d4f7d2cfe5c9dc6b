"""Chooses the server for each attempt of a request."""

from __future__ import annotations

__all__ = ["ServerChooser"]

from collections.abc import Callable

from .capacity.slot_client import UNUSED
from .capacity.slot_finder import SlotFinder, SlotOffer
from .capacity.slots import SlotDecision
from .clock import boottime_s
from .exchange import CallerRequest
from .limit_permits import Permit
from .model import Backend, Route, Service
from .owner_lookup import MOVING_RETRY_S, NO_OWNER_RETRY_S, ServerChoice
from .pool import connection_limit
from .request_dependencies import RequestDependencies

MAX_SLOTS_ASKED = 3
"""Slots that are asked for one attempt, if the servers that are lent cannot be used."""

UNCOORDINATED_IN_FLIGHT = 1
"""Requests of this host at a server whose coordinator does not respond: the other hosts
send their own, and nobody knows how many there are."""


class ServerChooser:
    """Chooses servers for one request.

    :param remaining_s: returns the time until the request's deadline.
    :ivar tried: servers that the request was sent to.
    """

    def __init__(
        self,
        dependencies: RequestDependencies,
        request: CallerRequest,
        route: Route,
        service: Service,
        remaining_s: Callable[[], float],
    ) -> None:
        self.tried: list[str] = []
        self._dependencies = dependencies
        self._request = request
        self._service = service
        self._remaining_s = remaining_s
        self._limited_wait_s: dict[str, float] = {}
        self._slots = SlotFinder(
            dependencies.slots,
            dependencies.view,
            dependencies.data_centre,
            dependencies.random,
            request,
            route,
            remaining_s,
        )
        self._cold_wait_s: dict[str, float] = {}

    async def choose(self, is_retry: bool) -> ServerChoice:
        """Return the server for the next attempt, or the reason why there is none."""
        if self._service.keyed:
            return await self._find_owner(is_retry)
        if self._is_coordinated():
            choice = await self._find_slot(is_retry)
            if choice is not None:
                return choice
        while (backend := self.choose_untried()) is not None:
            if await self._acquire(backend):
                return ServerChoice(backend)
        return self.explain_no_server()

    def give_back(self, choice: ServerChoice) -> None:
        """Give back the slot of a server that is not used after all."""
        if choice.lease is not None:
            self._dependencies.slots.give_back(choice.lease, UNUSED)

    def _is_coordinated(self) -> bool:
        routes = self._dependencies.view.routes
        return routes is not None and self._service.name in routes.coordinated

    def _has_coordinator(self) -> bool:
        """Return whether a host was appointed to lend slots of the service."""
        coordinators = self._dependencies.view.coordinators
        return coordinators.lends_for(self._service.name)

    async def _find_slot(self, is_retry: bool) -> ServerChoice | None:
        """Return a server with a slot for the request, or why there is none.

        :return: ``None`` if no coordinator responds.
        """
        for _ in range(MAX_SLOTS_ASKED):
            offer = await self._slots.find_for_any(
                self._servers(), self._unusable_servers(), is_retry
            )
            choice = await self._use_offer(offer)
            if choice is not None:
                return choice
            if offer.lease is None:
                return None
        return self.explain_no_server()

    async def _use_offer(self, offer: SlotOffer) -> ServerChoice | None:
        """Return the server of an offer, or the refusal.

        :return: ``None`` if there is neither, or the server cannot be used.
        """
        if offer.refusal is not None:
            return _refused(offer.refusal)
        if offer.lease is None:
            return None
        server = offer.lease.server
        backend = self._dependencies.view.directory.find(server)
        choice = ServerChoice(backend, lease=offer.lease)
        if backend not in self._servers():
            self.give_back(choice)
            self._limited_wait_s[server] = NO_OWNER_RETRY_S
            return None
        permit = await self._acquire_permit(choice)
        if not permit.granted:
            self.give_back(choice)
            self._limited_wait_s[server] = permit.retry_s
            return None
        return choice

    async def _acquire_permit(self, choice: ServerChoice) -> Permit:
        """Return whether the rate limit of a server allows one more request.

        The slot is given back if the caller leaves meanwhile.
        """
        try:
            return await self._dependencies.rate_limiter.acquire(choice.backend)
        except BaseException:
            self.give_back(choice)
            raise

    def _servers(self) -> list[Backend]:
        """Return the servers of an unkeyed service that take new requests."""
        open_servers = self._dependencies.view.open_servers(self._service.name)
        return [backend for backend in open_servers if not backend.draining]

    def _unusable_servers(self) -> set[str]:
        """Return the servers that this host sends nothing to now."""
        pool = self._dependencies.pool
        now_s = boottime_s()
        unusable = {
            backend.server
            for backend in self._servers()
            if pool.pause_left_s(backend, now_s) or pool.is_unreachable(backend, now_s)
        }
        return unusable | {*self.tried, *self._limited_wait_s}

    async def _acquire(self, backend: Backend) -> bool:
        """Return whether the limits of a server allow one more request."""
        permit = self._dependencies.cold_limiter.acquire(backend)
        if not permit.granted:
            self._cold_wait_s[backend.server] = permit.retry_s
            return False
        permit = await self._dependencies.rate_limiter.acquire(backend)
        if not permit.granted:
            self._limited_wait_s[backend.server] = permit.retry_s
        return permit.granted

    def explain_no_server(self) -> ServerChoice:
        """Return why no server of an unkeyed service may be used, and until when."""
        backends = self._servers()
        if not backends:
            return ServerChoice(None, self._absence_reason(), NO_OWNER_RETRY_S)
        now_s = boottime_s()
        pool = self._dependencies.pool
        wait_s = min(
            max(
                pool.pause_left_s(backend, now_s),
                self._limited_wait_s.get(backend.server, 0.0),
                self._cold_wait_s.get(backend.server, 0.0),
            )
            for backend in backends
        )
        if wait_s:
            return ServerChoice(None, self._wait_reason(), wait_s)
        return ServerChoice(None, "connections-in-use", MOVING_RETRY_S)

    def _absence_reason(self) -> str:
        """Return why no server takes new requests."""
        view = self._dependencies.view
        open_servers = view.open_servers(self._service.name)
        listed = view.directory.servers_of(self._service.name)
        return "servers-evacuated" if len(open_servers) < len(listed) else "no-server"

    def _wait_reason(self) -> str:
        if self._cold_wait_s:
            return "servers-cold"
        return "servers-limited" if self._limited_wait_s else "servers-paused"

    async def _find_owner(self, is_retry: bool) -> ServerChoice:
        """Return the key's owner unless a limit keeps this host from sending to it."""
        for _ in range(MAX_SLOTS_ASKED):
            choice = await self._dependencies.owners.find(
                self._service.name, self._request.key, self._remaining_s
            )
            if choice.backend is not None and self._is_coordinated():
                choice = await self._find_slot_of_owner(choice.backend, is_retry)
            if choice.backend is None:
                return choice
            if choice.lease is None:
                return await self._check_limits(choice, is_retry)
            if self._is_owner(choice.backend):
                return await self._check_rate(choice)
            # The key has moved while the request waited for a slot.
            self.give_back(choice)
        return ServerChoice(None, "key-moving", MOVING_RETRY_S)

    async def _find_slot_of_owner(self, owner: Backend, is_retry: bool) -> ServerChoice:
        """Return the owner, with a slot if it was lent, or why there is none."""
        offer = await self._slots.find_for_owner(owner, is_retry)
        if offer.refusal is not None:
            return _refused(offer.refusal)
        return ServerChoice(owner, lease=offer.lease)

    async def reuse(self, choice: ServerChoice) -> ServerChoice | None:
        """Return the choice for a retry by the same slot.

        :return: ``None`` if the slot cannot be used for it, and was given back.
        """
        is_cold = self._dependencies.cold_limiter.is_cold(choice.backend)
        if is_cold or not self._is_owner(choice.backend):
            # A cold server is lent one slot for each request within its rate.
            self.give_back(choice)
            return None
        return await self._check_rate(choice)

    def _is_owner(self, backend: Backend) -> bool:
        """Return whether a server owns the key of the request and may be used."""
        owners = self._dependencies.owners
        owned = owners.owner_of(self._service.name, self._request.key)
        if owned is None or owned.target or owned.server != backend.server:
            return False
        return owners.check_owner(owned).backend is not None

    async def _check_limits(self, choice: ServerChoice, is_retry: bool) -> ServerChoice:
        """Return the owner unless this host has too many requests there."""
        pool = self._dependencies.pool
        limit = self._connection_limit()
        if not is_retry:
            limit = min(limit, pool.window(choice.backend))
        if pool.in_flight(choice.backend) >= limit:
            return ServerChoice(None, "connections-in-use", MOVING_RETRY_S)
        permit = self._dependencies.cold_limiter.acquire(choice.backend)
        if not permit.granted:
            return ServerChoice(None, "owner-cold", permit.retry_s)
        return await self._check_rate(choice)

    async def _check_rate(self, choice: ServerChoice) -> ServerChoice:
        """Return the owner unless it has named a rate limit that is used up."""
        permit = await self._acquire_permit(choice)
        if permit.granted:
            return choice
        self.give_back(choice)
        return ServerChoice(None, "owner-limited", permit.retry_s)

    def find_alternative(self) -> Backend | None:
        """Return a server that a retry of an unkeyed request may go to."""
        return self._choose_untried(self._usual_connection_limit())

    def choose_untried(self) -> Backend | None:
        """Return a server of an unkeyed service that was not tried yet."""
        return self._choose_untried(self._connection_limit())

    def _choose_untried(self, max_in_flight: int) -> Backend | None:
        """Return an untried server, a cold one only if no other may be used."""
        backends = self._dependencies.view.open_servers(self._service.name)
        is_cold = self._dependencies.cold_limiter.is_cold
        cold = [backend for backend in backends if is_cold(backend)]
        if not cold:
            return self._choose_among(backends, max_in_flight)
        warm = [backend for backend in backends if backend not in cold]
        return self._choose_among(warm, max_in_flight) or self._choose_among(
            cold, max_in_flight
        )

    def _choose_among(
        self, backends: list[Backend], max_in_flight: int
    ) -> Backend | None:
        return self._dependencies.pool.choose(
            backends,
            boottime_s(),
            {*self.tried, *self._limited_wait_s, *self._cold_wait_s},
            max_in_flight,
        )

    def _connection_limit(self) -> int:
        """Return how many connections to one server this host may use."""
        if self._is_coordinated() and self._has_coordinator():
            return UNCOORDINATED_IN_FLIGHT
        return self._usual_connection_limit()

    def _usual_connection_limit(self) -> int:
        hosts = len(self._dependencies.view.peer_addresses)
        return connection_limit(self._service, hosts)


def _refused(refusal: SlotDecision) -> ServerChoice:
    """Return the choice for a request that the coordinator has refused."""
    return ServerChoice(None, refusal.reason, refusal.retry_s, is_planned=True)
