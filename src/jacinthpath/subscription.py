"""Subscription of an entry process to the configuration and slice tables."""

from __future__ import annotations

__all__ = ["Subscription"]

import asyncio
import random
import time
from typing import Any

from mode import Service

from .codec import new_frame
from .errors import FrameError, PeerUnavailable
from .keyring import KeyRing
from .logs import get_logger
from .metrics import Metrics
from .peers import PeerConnection, PeerIdentity, PeerPool
from .routing import RoutingState
from .staleness import FREEZE_CHECK_INTERVAL_S, StalenessTracker

RECONNECT_DELAY_S = 0.1
PREFERRED_CHECK_INTERVAL_S = 2.0

_log = get_logger()


class Subscription(Service):
    """Subscription to one control process, preferably that of its host.

    :param addresses: addresses of control processes, the preferred one first.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        addresses: tuple[str, ...],
        keys: KeyRing,
        routing: RoutingState,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._addresses = addresses
        self._routing = routing
        self.pool = PeerPool(
            identity,
            keys,
            {"publish": self._handle_publish, "digest": self._handle_digest},
            metrics,
        )
        self._staleness = StalenessTracker()
        self.connected_address = ""

    async def on_stop(self) -> None:
        """Close the connections."""
        await self.pool.close()

    def may_be_stale(self, limit_s: float) -> bool:
        """Return whether a newer configuration may exist that was not received."""
        return self._staleness.may_be_stale(limit_s, _clock_s())

    @Service.task
    async def _check_for_freeze(self) -> None:
        while not self.should_stop:
            self._staleness.check_for_freeze(_clock_s())
            await asyncio.sleep(FREEZE_CHECK_INTERVAL_S)

    @Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            for address in self._addresses:
                connection = await self._subscribe(address)
                if connection is not None:
                    await self._wait_until_lost(address, connection)
                    break
            await asyncio.sleep(RECONNECT_DELAY_S * (0.5 + random.random()))

    async def _subscribe(self, address: str) -> PeerConnection | None:
        frame = new_frame()
        content = frame.body.init("subscribe")
        content.role = "entry"
        versions = self._routing.versions()
        entries = content.init("topics", len(versions))
        for entry, (name, version) in zip(entries, versions.items(), strict=True):
            entry.name, entry.version = name, version
        try:
            connection = await self.pool.connect(address)
            response = await connection.request(frame)
        except (PeerUnavailable, FrameError) as error:
            _log.warning("control_unreachable", address=address, error=str(error))
            return None
        self._apply_topics(response)
        self.connected_address = address
        _log.info("control_subscribed", address=address)
        return connection

    async def _wait_until_lost(self, address: str, connection: PeerConnection) -> None:
        """Return when the connection is lost or the preferred process is reachable."""
        lost = asyncio.Event()
        connection.on_close(lambda _: lost.set())
        while not connection.closed:
            try:
                async with asyncio.timeout(PREFERRED_CHECK_INTERVAL_S):
                    await lost.wait()
            except TimeoutError:
                if (
                    address != self._addresses[0]
                    and await self._is_preferred_reachable()
                ):
                    return
        self.connected_address = ""
        _log.warning("control_lost", address=address)

    async def _is_preferred_reachable(self) -> bool:
        try:
            await self.pool.connect(self._addresses[0])
        except PeerUnavailable:
            return False
        return True

    async def _handle_publish(self, connection: PeerConnection, frame: Any) -> None:
        self._apply_topics(frame)

    async def _handle_digest(self, connection: PeerConnection, frame: Any) -> None:
        digest = frame.body.digest
        age_s = digest.confirmedAgeMs / 1000
        self._staleness.add_report(age_s, digest.storeDown, _clock_s())

    def _apply_topics(self, frame: Any) -> None:
        for topic in frame.body.publish.topics:
            self._routing.apply_topic(topic.name, topic.version, bytes(topic.content))


def _clock_s() -> float:
    """Return the time of a clock that also advances while the process is frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
