"""Relays store calls through the control process of another host."""

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

# The path is appended to the store's URL, so a peer must not choose it freely.
ALLOWED_METHODS = frozenset({"GET", "PUT", "POST", "DELETE"})
ALLOWED_PATH_PREFIXES = ("/kv/", "/leases")


class StoreRelay:
    """Both ends of a store call that is relayed by a peer.

    ``store`` makes its calls through a peer.

    :param store: the store as this process reaches it directly.
    :param addresses: returns the addresses of control processes that may relay a
        call.
    """

    def __init__(
        self,
        store: HttpKeyValueStore,
        pool: PeerPool,
        addresses: Callable[[], Sequence[str]],
    ) -> None:
        self.store = RelayedStore(self._call_through_peer)
        self._direct_store = store
        self._pool = pool
        self._addresses = addresses

    def handlers(self) -> dict[str, Handler]:
        """Return the handler of calls that peers relay through this process."""
        return {"relayStore": self._handle_relay_store}

    async def _handle_relay_store(self, connection: PeerConnection, frame: Any) -> Any:
        content = frame.body.relayStore
        allowed = content.method in ALLOWED_METHODS and content.path.startswith(
            ALLOWED_PATH_PREFIXES
        )
        if connection.remote.role != "control" or not allowed:
            raise FrameError(
                f"A store call to {content.path[:40]!r} is not relayed.",
                "Only key-value calls of control processes are relayed.",
            )
        result = await self._direct_store.send_call(
            content.method, content.path, bytes(content.body)
        )
        response = new_frame()
        answer = response.body.init("storeAnswer")
        answer.status, answer.body, answer.sent = result
        return response

    async def _call_through_peer(
        self, method: str, path: str, body: bytes
    ) -> StoreCallResult:
        addresses = self._addresses()
        if not addresses:
            return StoreCallResult(0, b"", False)
        frame = new_frame()
        content = frame.body.init("relayStore")
        content.method, content.path, content.body = method, path, body
        try:
            address = random.choice(addresses)
            response = await self._pool.request(address, frame, RELAY_TIMEOUT_S)
        except (PeerUnavailable, FrameError):
            return StoreCallResult(0, b"", True)
        answer = response.body.storeAnswer
        return StoreCallResult(answer.status, bytes(answer.body), answer.sent)
