"""One control process with only what spreads the configuration.

Started by the measures ``in-force`` and ``control-cost``. With ``--naive`` it
polls the store instead, as a host without the spread would.
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

POLL_S = 5.0


class GossipProcess:
    """The parts of the process, with the interface of a daemon."""

    def __init__(
        self, host: str, data_centre: str, store: str, hosts: str, key: str, naive: bool
    ) -> None:
        own = PeerIdentity(host, data_centre, "control", f"{host}/{os.getpid()}")
        keys = KeyRing((key,))
        self.metrics = Metrics()
        self.naive = naive
        self.store = HttpKeyValueStore(store)
        self.host_list = HttpHostList(hosts)
        self.pool = PeerPool(own, keys, {}, self.metrics)
        self.topics = GossipService(self.store, self.host_list, self.pool, self.metrics)
        self.topics.on_change(lambda topic: self.note(topic.name, topic.version))
        handlers = {**self.topics.handlers(), "status": self.on_status}
        self.server = PeerServer(own, "127.0.0.1:0", keys, handlers, self.metrics)
        self.reached_s: dict[int, float] = {}
        self.polling: asyncio.Task[None] | None = None

    def note(self, name: str, version: int) -> None:
        """Keep when a version of the configuration came into force."""
        if name == "configuration":
            self.reached_s.setdefault(version, time.time())

    async def start(self) -> None:
        """Start the parts."""
        await self.store.start()
        await self.host_list.start()
        await self.server.start()
        if self.naive:
            self.polling = asyncio.create_task(self.poll())
        else:
            await self.topics.start()
        print(f"listening peer_address={self.server.address}", flush=True)

    async def poll(self) -> None:
        """Read the store again and again."""
        while True:
            value = await self.store.get(CONFIGURATION_KEY)
            if value is not None:
                read = decode_value(CONFIGURATION_KEY, value.data)
                self.note("configuration", read.entry.version)
            await asyncio.sleep(POLL_S)

    async def drain(self) -> int:
        """There is nothing to finish."""
        return 0

    async def stop(self) -> None:
        """Stop the parts."""
        if self.polling is not None:
            self.polling.cancel()
        else:
            await self.topics.stop()
        await self.server.close()
        await self.pool.close()
        await self.host_list.close()
        await self.store.close()

    async def on_status(self, _connection: Any, _frame: Any) -> Any:
        """Answer with the times and counts that the measures need."""
        answer = new_frame()
        status = self.topics.status()
        # The list would count among the bytes sent, in proportion to the fleet.
        status["members"] = len(status["members"])
        usage = {
            **status,
            "host": self.topics.node.host,
            "reached_s": self.reached_s,
            "bytes_sent": self.metrics.value("peer_sent_bytes_total"),
            "store_calls": self.store.calls,
        }
        answer.body.statusAnswer = json.dumps(usage)
        return answer


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
