"""Finds a slot for each attempt of a request, among the groups of its service."""

from __future__ import annotations

__all__ = ["SlotFinder", "SlotOffer"]

import asyncio
from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple

import xxhash

from ..cluster_view import ClusterView
from ..exchange import CallerRequest
from ..fingerprints import fingerprint_of
from ..model import Backend, Route
from ..waiting import wait_for_event
from .coordinators import Coordinator, ServerGroup
from .slot_client import MIN_REMAINING_S, SlotClient, SlotLease
from .slot_coordinator import FULL
from .slot_log import SlotLog
from .slot_service import MAX_REPLY_DELAY_S
from .slots import SlotDecision, SlotRequest, SlotState

FLOW_MASK = 0xFFFF_FFFF

SUCCESSOR_WAIT_S = 0.5
SUCCESSOR_POLL_S = 0.03
"""A new list of coordinators reaches all hosts within the first of these times; until
then, the new one is asked again after the second."""


class SlotOffer(NamedTuple):
    """A slot, the refusal of one, or neither if no coordinator responds."""

    lease: SlotLease | None = None
    refusal: SlotDecision | None = None


_UNDECIDED = SlotOffer()


class SlotFinder:
    """Finds slots for one request.

    :param data_centre: data centre of this host.
    :param remaining_s: returns the time until the request's deadline.
    """

    def __init__(
        self,
        client: SlotClient,
        view: ClusterView,
        data_centre: str,
        random: Random,
        request: CallerRequest,
        route: Route,
        remaining_s: Callable[[], float],
    ) -> None:
        self._client = client
        self._view = view
        self._data_centre = data_centre
        self._random = random
        self._request = request
        self._route = route
        self._remaining_s = remaining_s
        self._loop = asyncio.get_running_loop()
        self._log = SlotLog(client.events, client.metrics, request.request_id)

    async def find_for_owner(self, owner: Backend, is_retry: bool) -> SlotOffer:
        """Return a slot of the server that owns the request's key."""
        group = ServerGroup(owner.service, owner.data_centre)
        coordinator = self._client.find_coordinator(group)
        if coordinator is None:
            return _UNDECIDED
        wanted = self._make_request(is_retry)._replace(server=owner.server)
        return await self._ask(coordinator, wanted)

    async def find_for_any(
        self, backends: Collection[Backend], excluded: Collection[str], is_retry: bool
    ) -> SlotOffer:
        """Return a slot of any of the servers of a service.

        The group of the own data centre is asked first. The others are asked if it has
        no free slot; if none has, the request waits where it would get one soonest.

        :param backends: servers of the service that take new requests.
        :param excluded: servers that must not be used.
        """
        coordinators = self._coordinators(backends)
        wanted = self._make_request(is_retry)
        wanted = wanted._replace(excluded=frozenset(excluded))
        refusal: SlotDecision | None = None
        if len(coordinators) > 1:
            offer, coordinators = await self._ask_without_waiting(coordinators, wanted)
            if offer.lease is not None:
                return offer
            refusal = offer.refusal
        if not coordinators:
            return SlotOffer(refusal=refusal)
        wanted = self._make_request(is_retry)
        wanted = wanted._replace(excluded=frozenset(excluded))
        return await self._ask(coordinators[0], wanted)

    async def _ask_without_waiting(
        self, coordinators: list[Coordinator], wanted: SlotRequest
    ) -> tuple[SlotOffer, list[Coordinator]]:
        """Ask one coordinator after the other for a slot that is free now.

        :return: the offer of a slot if there is one, else a refusal if there is one;
            and the coordinators of full groups, the one with the shortest wait first.
        """
        retry_s: dict[Coordinator, float] = {}
        refusal: SlotDecision | None = None
        for coordinator in coordinators:
            if self._remaining_s() < MIN_REMAINING_S:
                break
            immediate = wanted._replace(slot=self._client.new_slot(), may_wait=False)
            offer = await self._ask(coordinator, immediate)
            if offer.lease is not None:
                return offer, []
            if offer.refusal is not None:
                refusal = offer.refusal
                if refusal.reason == FULL:
                    retry_s[coordinator] = refusal.retry_s
        return SlotOffer(refusal=refusal), sorted(retry_s, key=retry_s.__getitem__)

    def _coordinators(self, backends: Collection[Backend]) -> list[Coordinator]:
        """Return the coordinators that may be asked, that of the own group first."""
        groups = {
            ServerGroup(backend.service, backend.data_centre) for backend in backends
        }
        found = [self._client.find_coordinator(group) for group in sorted(groups)]
        coordinators = [one for one in found if one is not None]
        self._random.shuffle(coordinators)
        coordinators.sort(key=lambda one: one.group.data_centre != self._data_centre)
        return coordinators

    async def _ask(self, coordinator: Coordinator, wanted: SlotRequest) -> SlotOffer:
        """Ask for a slot; a request that has waited also asks the next coordinator."""
        asked_s = self._loop.time()
        offer = await self._ask_one(coordinator, wanted)
        ended_s = self._loop.time()
        if offer != _UNDECIDED or ended_s - asked_s <= MAX_REPLY_DELAY_S:
            return offer
        until_s = ended_s + SUCCESSOR_WAIT_S
        while offer == _UNDECIDED and self._loop.time() < until_s:
            successor = self._client.find_coordinator(coordinator.group)
            if successor is None:
                break
            elapsed_s = self._loop.time() - asked_s
            renewed = wanted._replace(
                slot=self._client.new_slot(),
                objective_left_s=wanted.objective_left_s - elapsed_s,
                deadline_left_s=self._remaining_s(),
            )
            offer = await self._ask_one(successor, renewed)
            if offer == _UNDECIDED:
                # The new host may not have heard of it yet.
                await wait_for_event(self._view.changed, SUCCESSOR_POLL_S)
        return offer

    async def _ask_one(
        self, coordinator: Coordinator, wanted: SlotRequest
    ) -> SlotOffer:
        asked_s = self._loop.time()
        decision = await self._client.request(
            coordinator, wanted, fingerprint_of(self._request), self._remaining_s
        )
        waited_s = self._loop.time() - asked_s
        self._log.record(coordinator, wanted, decision, waited_s)
        if decision is None:
            return _UNDECIDED
        if decision.state is SlotState.REFUSED:
            return SlotOffer(refusal=decision)
        return SlotOffer(SlotLease(coordinator, wanted.slot, decision.server))

    def _make_request(self, is_retry: bool) -> SlotRequest:
        remaining_s = self._remaining_s()
        elapsed_s = self._loop.time() - self._request.received_s
        objective_left_s = self._route.target_latency_s - elapsed_s
        return SlotRequest(
            self._client.new_slot(),
            server="",
            flow=self._flow(),
            priority=self._route.priority,
            returning=is_retry,
            objective_left_s=min(objective_left_s, remaining_s),
            deadline_left_s=remaining_s,
        )

    def _flow(self) -> int:
        """Return what shares are fair among: the key, or else the caller."""
        if self._request.key is not None:
            return self._request.key
        return xxhash.xxh32_intdigest(self._request.caller.encode()) & FLOW_MASK
