"""Control process that only disseminates the configuration.

Started by the measures ``in-force`` and ``control-cost``. With ``--naive`` it
polls the store instead, as a host without dissemination would.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from typing import Any

import click

from jacinthpath.change_values import CONFIGURATION_KEY, decode_value
from jacinthpath.codec import new_frame
from jacinthpath.daemon import run_daemon
from jacinthpath.gossip_service import GossipService
from jacinthpath.hosts import HttpHostList
from jacinthpath.keyring import KeyRing
from jacinthpath.logs import configure_logging
from jacinthpath.metrics import Metrics
from jacinthpath.peers import PeerIdentity, PeerPool, PeerServer
from jacinthpath.store import HttpKeyValueStore

POLL_INTERVAL_S = 5.0


class GossipProcess:
    """The components of the process, with the interface of a daemon."""

    def __init__(
        self, host: str, data_centre: str, store: str, hosts: str, key: str, naive: bool
    ) -> None:
        identity = PeerIdentity(host, data_centre, "control", f"{host}/{os.getpid()}")
        keys = KeyRing((key,))
        self.metrics = Metrics()
        self.naive = naive
        self.store = HttpKeyValueStore(store)
        self.host_list = HttpHostList(hosts)
        self.pool = PeerPool(identity, keys, {}, self.metrics)
        self.topics = GossipService(self.store, self.host_list, self.pool, self.metrics)
        self.topics.on_change(
            lambda topic: self.record_version(topic.name, topic.version)
        )
        handlers = {**self.topics.handlers(), "status": self.handle_status}
        self.server = PeerServer(identity, "127.0.0.1:0", keys, handlers, self.metrics)
        self.reached_s: dict[int, float] = {}
        self.poll_task: asyncio.Task[None] | None = None

    def record_version(self, name: str, version: int) -> None:
        """Record when a version of the configuration took effect."""
        if name == "configuration":
            self.reached_s.setdefault(version, time.time())

    async def start(self) -> None:
        """Start the components."""
        await self.store.start()
        await self.host_list.start()
        await self.server.start()
        if self.naive:
            self.poll_task = asyncio.create_task(self.poll_store())
        else:
            await self.topics.start()
        print(f"listening peer_address={self.server.address}", flush=True)

    async def poll_store(self) -> None:
        """Read the store periodically."""
        while True:
            value = await self.store.get(CONFIGURATION_KEY)
            if value is not None:
                value_read = decode_value(CONFIGURATION_KEY, value.data)
                self.record_version("configuration", value_read.entry.version)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def drain(self) -> int:
        """Return at once; there are no requests to finish."""
        return 0

    async def stop(self) -> None:
        """Stop the components."""
        if self.poll_task is not None:
            self.poll_task.cancel()
        else:
            await self.topics.stop()
        await self.server.close()
        await self.pool.close()
        await self.host_list.close()
        await self.store.close()

    async def handle_status(self, _connection: Any, _frame: Any) -> Any:
        """Respond with the times and counts that the benchmarks need."""
        response = new_frame()
        status = self.topics.status()
        # The list itself would add bytes sent in proportion to the size of the fleet.
        status["members"] = len(status["members"])
        usage = {
            **status,
            "host": self.topics.node.host,
            "reached_s": self.reached_s,
            "bytes_sent": self.metrics.value("peer_sent_bytes_total"),
            "store_calls": self.store.calls,
        }
        response.body.statusAnswer = json.dumps(usage)
        return response


@click.command()
@click.option("--host", required=True)
@click.option("--data-centre", required=True)
@click.option("--store", required=True)
@click.option("--hosts", required=True)
@click.option("--key", required=True)
@click.option("--naive", is_flag=True)
def main(
    host: str, data_centre: str, store: str, hosts: str, key: str, naive: bool
) -> None:
    """Run the process."""
    configure_logging("error", host=host)
    run_daemon(GossipProcess(host, data_centre, store, hosts, key, naive))


if __name__ == "__main__":
    main()
