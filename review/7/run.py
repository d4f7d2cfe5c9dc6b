"""Stops a gateway by SIGTERM while requests wait there for a slot of a server.

See claim.txt. Exits with 1 if a request that the gateway had read before the signal
ends without an answer though no excuse of the rule holds, with 0 if none does, and with
2 if the case could not run.
"""

# ruff: noqa: D101, D102, D103

import asyncio
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.loopback import address_block  # noqa: E402
from standins.platform_documents import (  # noqa: E402
    CONFIGURATION_KEY,
    HOST,
    SETTINGS,
    configuration,
    route,
)
from standins.platform_store import PlatformStoreStandIn  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 2
SLOTS = 3
QUEUE = 12
WORK_S = 1.0
REQUESTS_PER_S = 10.0
"""The servers do six a second."""
CLIENTS = 50
URGENT_EACH = 4
"""Every fourth request is on the route with the higher priority."""

TARGET_LATENCY = "18000ms"
TIMEOUT_S = 20.0
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
BEFORE_S = 24.0
"""Time of steady traffic before the signal."""

record = (Path(__file__).parent / "record.txt").open("w")
started_s = time.monotonic()


def now_s():
    return time.monotonic() - started_s


def note(text):
    record.write(f"{now_s():8.3f} {text}\n")
    record.flush()


begun = set()
"""Attempts that a server has received."""


class Server:
    """A server with slots and a short queue."""

    def __init__(self, name, store):
        self.name = name
        self.store = store
        self.listener = None
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = 0

    async def start(self):
        while True:
            port = random.randrange(20_000, 32_000)
            try:
                self.listener = await asyncio.start_server(
                    self.serve, "127.0.0.1", port
                )
                break
            except OSError:
                continue
        entry = (
            f'{{"address":"127.0.0.1:{port}","born":{int(time.time() * 1000)},'
            f'"info":{{"service":"plain","version":"v1","zone":"a","slots":{SLOTS}}},'
            f'"status":{{"state":"ready","sequence":1,"warmup_left":"0ms"}}}}'
        )
        self.store.put(f"servers/{self.name}", entry.encode())

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        first, *lines = head.split("\r\n")
        path = first.split(" ")[1]
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        if path == "/health":
            writer.write(answer(200, {"X-Instance-Id": self.name}, b""))
            return True
        await reader.readexactly(int(fields.get("content-length", "0")))
        attempt = fields.get("x-attempt-id", "")
        own = {"X-Attempt-Id": attempt}
        if self.waiting >= QUEUE:
            writer.write(answer(503, {**own, "X-Not-Executed": "1"}, b""))
            return True
        begun.add(attempt)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            note(f"{attempt} begins to run at {self.name}")
            await asyncio.sleep(WORK_S)
            note(f"{attempt} has run at {self.name}")
        writer.write(answer(200, {**own, "X-Server-Signature": "s"}, b"done"))
        return True


def answer(status, fields, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Gateway:
    def __init__(self, number, folder, store):
        self.name = f"g{number}"
        self.ip = f"{address_block()}.{number + 1}"
        self.front = f"{self.ip}:{free_port(self.ip)}"
        self.ready = f"{self.ip}:{free_port(self.ip)}"
        self.settings = folder / f"{self.name}.toml"
        self.settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                peer_port=free_port(self.ip),
                front_port=self.front.rpartition(":")[2],
                ready_port=self.ready.rpartition(":")[2],
                store=store.address,
            )
        )
        self.log = folder / f"{self.name}.log"
        self.process = None

    async def start(self):
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/jacinthpath.py",
                cwd=ROOT,
                env={**os.environ, "JACINTHPATH_SETTINGS": str(self.settings)},
                stdout=log,
                stderr=log,
            )

    async def is_ready(self, session):
        try:
            async with session.get(f"http://{self.ready}/-/ready") as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


class Sent:
    """A request of a client, and how it ended."""

    def __init__(self, attempt, gateway):
        self.attempt = attempt
        self.gateway = gateway
        self.path = "urgent" if int(attempt[1:]) % URGENT_EACH == 0 else "order"
        self.sent_s = now_s()
        self.ended_s = 0.0
        self.result = ""


def _connector(sent):
    """Return a connector with an address of one of the clients."""
    client = int(sent.attempt[1:]) % CLIENTS
    return aiohttp.TCPConnector(local_addr=(f"127.0.1.{client + 1}", 0))


async def send(sent):
    """Send an order on a connection of its own; a client that left sends no more."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": sent.attempt,
        "X-Request-Deadline-Ms": str(int(1000 * TIMEOUT_S)),
    }
    note(f"{sent.attempt} is sent to {sent.gateway.name}")
    try:
        async with (
            aiohttp.ClientSession(connector=_connector(sent)) as session,
            asyncio.timeout(TIMEOUT_S),
            session.post(
                f"http://{sent.gateway.front}/{sent.path}/{sent.attempt}",
                data=b"one pair",
                headers=fields,
            ) as response,
        ):
            await response.read()
            sent.result = str(response.status)
    except TimeoutError:
        sent.result = "the client's time is over"
    except (aiohttp.ClientError, OSError) as error:
        sent.result = f"no answer: {type(error).__name__}"
    sent.ended_s = now_s()
    note(f"{sent.attempt} by {sent.gateway.name}: {sent.result}")


async def run(folder):
    store = PlatformStoreStandIn("127.0.0.1:0")
    await store.start()
    timeout = f"{int(1000 * TIMEOUT_S)}ms"
    rows = [
        route(
            f"{name}-{priority}",
            f"/{name}/",
            "plain",
            "non_idempotent",
            timeout,
            target_latency=TARGET_LATENCY,
            priority=priority,
        )
        for priority, name in ((1, "urgent"), (2, "order"))
    ]
    store.put(CONFIGURATION_KEY, configuration(2, rows, services=("plain",)))
    servers = [Server(f"s{number}", store) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    gateways = [Gateway(number, folder, store) for number in range(2)]
    session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=1))
    try:
        for gateway in gateways:
            await gateway.start()
        for _ in range(150):
            if all([await gateway.is_ready(session) for gateway in gateways]):
                break
            await asyncio.sleep(0.1)
        else:
            note("the gateways did not become ready")
            return 2
        await asyncio.sleep(2)
        return await check(gateways)
    finally:
        await session.close()
        for gateway in gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                gateway.process.kill()
                await gateway.process.wait()
        for server in servers:
            server.listener.close()
        await store.close()


async def check(gateways):
    requests = []
    tasks = []

    async def send_steadily(until_s, choices):
        while now_s() < until_s:
            sent = Sent(f"a{len(requests)}", choices[len(requests) % len(choices)])
            requests.append(sent)
            tasks.append(asyncio.create_task(send(sent)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    await send_steadily(now_s() + BEFORE_S, gateways)
    stopped, other = reversed(gateways)
    signal_s = now_s()
    if TROUBLE:
        note(f"{stopped.name} gets SIGTERM")
        stopped.process.send_signal(signal.SIGTERM)
        tasks.append(asyncio.create_task(kill_later(stopped)))
    # Clients come to the host no more once it is not ready.
    await send_steadily(now_s() + GRACE_S, [other] if TROUBLE else gateways)
    await asyncio.gather(*tasks)
    lost = [one for one in requests if is_lost(one, stopped, signal_s)]
    for one in lost:
        note(
            f"lost: {one.attempt}, sent {signal_s - one.sent_s:.1f} s before the "
            f"signal, ended {one.ended_s - one.sent_s:.1f} s after it was sent"
        )
    served = sum(one.result == "200" for one in requests)
    note(f"verdict: {len(requests)} sent, {served} served, {len(lost)} lost")
    if not served:
        return 2
    return 1 if lost else 0


def is_lost(one, stopped, signal_s):
    """Return whether a request counts for the rule.

    Only those count here that no server has received, so that no server was at work on
    them, and that were sent before the signal.
    """
    return (
        one.gateway is stopped
        and one.result.startswith("no answer")
        and one.attempt not in begun
        and one.sent_s < signal_s
        and signal_s < one.ended_s < signal_s + GRACE_S + 1
        and one.ended_s - one.sent_s > LOSS_SLACK_S
        and one.ended_s - one.sent_s < TIMEOUT_S
    )


async def kill_later(gateway):
    """Kill the process at the end of the grace period, as the platform does."""
    try:
        async with asyncio.timeout(GRACE_S):
            await gateway.process.wait()
        note(f"{gateway.name} has ended, status {gateway.process.returncode}")
    except TimeoutError:
        gateway.process.kill()
        note(f"{gateway.name} is killed")


def main():
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(asyncio.wait_for(run(Path(folder)), 110))
        except (Exception, asyncio.CancelledError) as error:
            note(f"the case could not run: {error!r}")
            status = 2
    note(f"exit {status}")
    sys.exit(status)


main()
