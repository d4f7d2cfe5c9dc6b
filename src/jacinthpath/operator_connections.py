"""Connections of the operators' commands to the store and control processes."""

from __future__ import annotations

__all__ = ["Connections", "PeerControlClient"]

import json
import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from .codec import new_frame
from .errors import JacinthpathError
from .gossip_frames import fetch_frame, read_topics
from .store import HttpKeyValueStore, KeyValueStore

CALL_TIMEOUT_S = 2.0


class OptionMissing(JacinthpathError):
    """A command needs an address or file that was not given."""

    exit_code = 2


class PeerControlClient:
    """Asks control processes over authenticated connections.

    :param addresses: ``IP:port`` of control processes.
    """

    def __init__(self, addresses: tuple[str, ...], key_file: str) -> None:
        from .keyring import KeyRing
        from .metrics import Metrics
        from .peers import PeerIdentity, PeerPool

        self.addresses = addresses
        identity = PeerIdentity("operator", "", "operator", secrets.token_hex(8))
        self._pool = PeerPool(identity, KeyRing((key_file,)), {}, Metrics())

    async def read_status(self, address: str) -> dict[str, Any]:
        """Return the status of a control process."""
        frame = new_frame()
        frame.body.status = None
        answer = await self._pool.request(address, frame, CALL_TIMEOUT_S)
        return json.loads(answer.body.statusAnswer)

    async def fetch_topic(self, address: str, name: str) -> bytes | None:
        """Return the content of a topic, if the process has it."""
        answer = await self._pool.request(address, fetch_frame([name]), CALL_TIMEOUT_S)
        topics = read_topics(answer)
        return topics[0].content if topics else None

    async def close(self) -> None:
        """End the connections."""
        await self._pool.close()


class Connections:
    """Opens what a command needs, when it needs it.

    :param store_url: the platform's key-value service.
    :param control_addresses: ``IP:port`` of control processes.
    :param key_file: file with the cluster key.
    """

    def __init__(
        self, store_url: str, control_addresses: tuple[str, ...], key_file: str
    ) -> None:
        self.store_url = store_url
        self.control_addresses = control_addresses
        self.key_file = key_file

    @asynccontextmanager
    async def open_store(self) -> AsyncIterator[KeyValueStore]:
        """Open the store for the duration of a block.

        :raises OptionMissing: no address was given.
        """
        if not self.store_url:
            raise OptionMissing(
                "The address of the store is not known.",
                "Add --store URL or set JACINTHPATH_STORE_URL.",
            )
        store = HttpKeyValueStore(self.store_url, CALL_TIMEOUT_S)
        await store.start()
        try:
            yield store
        finally:
            await store.close()

    @asynccontextmanager
    async def open_control(self) -> AsyncIterator[PeerControlClient]:
        """Open connections to control processes for the duration of a block.

        :raises OptionMissing: no address or key file was given.
        """
        if not self.control_addresses:
            raise OptionMissing(
                "No control process is named.",
                "Add --control IP:PORT or set JACINTHPATH_CONTROL_ADDRESSES.",
            )
        if not self.key_file:
            raise OptionMissing(
                "The cluster key file is not named.",
                "Add --cluster-key FILE or set JACINTHPATH_CLUSTER_KEY_FILE.",
            )
        client = PeerControlClient(self.control_addresses, self.key_file)
        try:
            yield client
        finally:
            await client.close()
