"""Store calls through the control process of another host."""

from __future__ import annotations

__all__ = ["StoreRelay"]

import random
from collections.abc import Callable, Sequence
from typing import Any

from .codec import new_frame
from .errors import FrameError, PeerUnavailable
from .peers import Handler, PeerConnection, PeerPool
from .store import HttpKeyValueStore, StoreCallResult
from .store_leases import RelayedStore

RELAY_TIMEOUT_S = 0.25

# A path is appended to the store's URL, so a peer must not choose it freely.
METHODS = frozenset({"GET", "PUT", "POST", "DELETE"})
PATHS = ("/kv/", "/leases")


class StoreRelay:
    """Both ends of a store call through a peer.

    :param store: the store as this process reaches it.
    :param addresses: returns control processes that may relay a call.
    """

    def __init__(
        self,
        store: HttpKeyValueStore,
        pool: PeerPool,
        addresses: Callable[[], Sequence[str]],
    ) -> None:
        self.store = RelayedStore(self._call)
        self._own_store = store
        self._pool = pool
        self._addresses = addresses

    def handlers(self) -> dict[str, Handler]:
        """Return the handler of calls that others relay through this process."""
        return {"relayStore": self._on_relay_store}

    async def _on_relay_store(self, connection: PeerConnection, frame: Any) -> Any:
        content = frame.body.relayStore
        allowed = content.method in METHODS and content.path.startswith(PATHS)
        if connection.remote.role != "control" or not allowed:
            raise FrameError(
                f"A store call to {content.path[:40]!r} is not relayed.",
                "Only control processes relay calls of the key-value service.",
            )
        result = await self._own_store.call_directly(
            content.method, content.path, bytes(content.body)
        )
        reply = new_frame()
        answer = reply.body.init("storeAnswer")
        answer.status, answer.body, answer.sent = result
        return reply

    async def _call(self, method: str, path: str, body: bytes) -> StoreCallResult:
        addresses = self._addresses()
        if not addresses:
            return StoreCallResult(0, b"", False)
        frame = new_frame()
        content = frame.body.init("relayStore")
        content.method, content.path, content.body = method, path, body
        try:
            address = random.choice(addresses)
            answer = await self._pool.request(address, frame, RELAY_TIMEOUT_S)
        except (PeerUnavailable, FrameError):
            return StoreCallResult(0, b"", True)
        reply = answer.body.storeAnswer
        return StoreCallResult(reply.status, bytes(reply.body), reply.sent)
