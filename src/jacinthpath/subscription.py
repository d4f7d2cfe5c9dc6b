"""Keeps an entry process supplied with configuration and tables."""

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

RETRY_S = 0.1
PREFERRED_RECHECK_S = 2.0

_log = get_logger()


class Subscription(Service):
    """Connection to one control process, the own host's if it can be reached.

    :param addresses: control processes, the preferred one first.
    """

    def __init__(
        self,
        own: PeerIdentity,
        addresses: tuple[str, ...],
        keys: KeyRing,
        routing: RoutingState,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._addresses = addresses
        self._routing = routing
        self.pool = PeerPool(
            own,
            keys,
            {"publish": self._on_publish, "digest": self._on_digest},
            metrics,
        )
        self._confirmations = StalenessTracker()
        self.connected_address = ""

    async def on_stop(self) -> None:
        """End the connection."""
        await self.pool.close()

    def may_be_stale(self, limit_s: float) -> bool:
        """Return whether a newer configuration may have been accepted unseen."""
        return self._confirmations.may_be_stale(limit_s, _clock_s())

    @Service.task
    async def _note_time(self) -> None:
        while not self.should_stop:
            self._confirmations.check_for_freeze(_clock_s())
            await asyncio.sleep(FREEZE_CHECK_INTERVAL_S)

    @Service.task
    async def _keep_connected(self) -> None:
        while not self.should_stop:
            for address in self._addresses:
                connection = await self._subscribe(address)
                if connection is not None:
                    await self._until_lost(address, connection)
                    break
            await asyncio.sleep(RETRY_S * (0.5 + random.random()))

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
            answer = await connection.request(frame)
        except (PeerUnavailable, FrameError) as error:
            _log.warning("control_unreachable", address=address, error=str(error))
            return None
        self._apply(answer)
        self.connected_address = address
        _log.info("control_subscribed", address=address)
        return connection

    async def _until_lost(self, address: str, connection: PeerConnection) -> None:
        lost = asyncio.Event()
        connection.on_close(lambda _: lost.set())
        while not connection.closed:
            try:
                async with asyncio.timeout(PREFERRED_RECHECK_S):
                    await lost.wait()
            except TimeoutError:
                if address != self._addresses[0] and await self._preferred_is_back():
                    return
        self.connected_address = ""
        _log.warning("control_lost", address=address)

    async def _preferred_is_back(self) -> bool:
        try:
            await self.pool.connect(self._addresses[0])
        except PeerUnavailable:
            return False
        return True

    async def _on_publish(self, connection: PeerConnection, frame: Any) -> None:
        self._apply(frame)

    async def _on_digest(self, connection: PeerConnection, frame: Any) -> None:
        digest = frame.body.digest
        age_s = digest.confirmedAgeMs / 1000
        self._confirmations.add_report(age_s, digest.storeDown, _clock_s())

    def _apply(self, frame: Any) -> None:
        for topic in frame.body.publish.topics:
            self._routing.apply_topic(topic.name, topic.version, bytes(topic.content))


def _clock_s() -> float:
    """Return a clock that goes on while the process is frozen."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
