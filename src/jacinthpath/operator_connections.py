"""Connections of the operators' commands to the store and control processes."""

from __future__ import annotations

__all__ = ["Connections", "OptionMissing", "PeerControlClient"]

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
    """An address or file that a command needs was not given."""

    exit_code = 2


class PeerControlClient:
    """Queries control processes over authenticated connections.

    :param addresses: ``IP:port`` of control processes.
    :param key_file: file with the cluster key.
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
        response = await self._pool.request(address, frame, CALL_TIMEOUT_S)
        return json.loads(response.body.statusAnswer)

    async def fetch_topic(self, address: str, name: str) -> bytes | None:
        """Return the content of a topic, or ``None`` if the process lacks it."""
        response = await self._pool.request(
            address, fetch_frame([name]), CALL_TIMEOUT_S
        )
        topics = read_topics(response)
        return topics[0].content if topics else None

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()


class Connections:
    """Opens the connections of a command on demand.

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
                "No store address was given.",
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
                "No control process address was given.",
                "Add --control IP:PORT or set JACINTHPATH_CONTROL_ADDRESSES.",
            )
        if not self.key_file:
            raise OptionMissing(
                "No cluster key file was given.",
                "Add --cluster-key FILE or set JACINTHPATH_CLUSTER_KEY_FILE.",
            )
        client = PeerControlClient(self.control_addresses, self.key_file)
        try:
            yield client
        finally:
            await client.close()
