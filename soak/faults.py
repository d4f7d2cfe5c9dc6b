"""Faults from outside the processes, in a registry that decorators fill."""

from __future__ import annotations

__all__ = ["FAULTS", "fault", "heal"]

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable

from .system import GRACE_S, Gateway, System

Fault = Callable[[System, float], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
"""Each fault by name; it ends by itself within about the given seconds."""

SERVER_FAULTS = ["shed", "extra", "stray", "unframed", "reset", "cut", "lost", "slow"]
PATH_MODES = ["delay", "reset", "silent", "one-way"]
STORE_MODES = ["busy", "silent", "lossy"]
RESTART_S = 0.5
INTERPRETER_START_S = 0.2


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _any_gateway(system: System) -> Gateway:
    return system.random.choice(system.gateways)


@fault("host-killed")
async def _kill(system: System, length_s: float) -> None:
    gateway = _any_gateway(system)
    gateway.disturbed()
    await gateway.end()
    await asyncio.sleep(min(length_s, RESTART_S))
    await gateway.restart()


@fault("all-hosts-killed")
async def _kill_all(system: System, _length_s: float) -> None:
    for gateway in system.gateways:
        gateway.disturbed()
        await gateway.end()
    await asyncio.sleep(RESTART_S)
    for gateway in system.gateways:
        await gateway.restart()


@fault("host-terminated")
async def _terminate(system: System, _length_s: float) -> None:
    await _leave(_any_gateway(system))


@fault("hosts-terminated-in-turn")
async def _roll(system: System, _length_s: float) -> None:
    for gateway in [*system.gateways]:
        await _leave(gateway)


async def _leave(gateway: Gateway) -> None:
    """Stop a process as the platform does, and start it again."""
    process = gateway.process
    begun_s = time.monotonic()
    gateway.send_signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(GRACE_S):
            await process.wait()
    except TimeoutError:
        # A process that another fault has paused cannot end in time.
        was_paused = gateway.paused_until_s >= begun_s
        gateway.killed_after_grace = gateway.process is process and not was_paused
        await gateway.end()
    await gateway.restart()


@fault("host-paused")
async def _pause(system: System, length_s: float) -> None:
    gateway = _any_gateway(system)
    process = gateway.process
    gateway.paused_until_s = time.monotonic() + length_s
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(length_s)
    if gateway.process is process:
        gateway.send_signal(signal.SIGCONT)


@fault("settings-read-again")
async def _hang_up(system: System, _length_s: float) -> None:
    for gateway in system.gateways:
        # An interpreter that has just been started ends by this signal.
        if time.monotonic() - gateway.started_s > INTERPRETER_START_S:
            gateway.send_signal(signal.SIGHUP)


@fault("store-path")
async def _store_path(system: System, length_s: float) -> None:
    gateway = _any_gateway(system)
    gateway.disturbed()
    gateway.to_store.mode = system.random.choice(PATH_MODES)
    if gateway.to_store.mode == "reset":
        gateway.to_store.reset()
    await asyncio.sleep(length_s)
    gateway.to_store.mode = "pass"
    gateway.disturbed()


@fault("store")
async def _store(system: System, length_s: float) -> None:
    system.disturbed()
    system.store.mode = system.random.choice(STORE_MODES)
    await asyncio.sleep(length_s)
    system.store.mode = "up"
    system.disturbed()


@fault("history-forgotten")
async def _forget(system: System, _length_s: float) -> None:
    system.store.forget_history()


@fault("server-path")
async def _server_path(system: System, length_s: float) -> None:
    proxy = system.random.choice([*system.proxies.values()])
    proxy.mode = system.random.choice(PATH_MODES)
    if proxy.mode == "reset":
        proxy.reset()
    await asyncio.sleep(length_s)
    proxy.mode = "pass"


@fault("server-answers")
async def _server_answers(system: System, length_s: float) -> None:
    server = system.random.choice([*system.servers.values()])
    server.fault = system.random.choice(SERVER_FAULTS)
    await asyncio.sleep(length_s)
    server.fault = ""


@fault("server-restarted")
async def _server_restarted(system: System, _length_s: float) -> None:
    name = system.random.choice([*system.servers])
    system.proxies[name].reset()
    system.servers[name].restart()
    system.put_entry(name)


@fault("server-drained")
async def _drain(system: System, length_s: float) -> None:
    name = system.random.choice([*system.servers])
    system.put_entry(name, "draining")
    await asyncio.sleep(max(4.0, length_s))
    system.servers[name].restart()
    system.put_entry(name)


@fault("entry-unreadable")
async def _unreadable(system: System, length_s: float) -> None:
    system.store.put("servers/mangled", b"\xff{")
    await asyncio.sleep(length_s)
    system.store.delete("servers/mangled")


@fault("configured")
async def _configure(system: System, _length_s: float) -> None:
    for _ in range(system.random.choice([1, 1, 5])):
        system.configure()
        await asyncio.sleep(0.02)


async def heal(system: System) -> None:
    """End what faults may have left."""
    system.store.mode = "up"
    for proxy in [*system.proxies.values(), *(g.to_store for g in system.gateways)]:
        proxy.mode = "pass"
    for name, server in system.servers.items():
        server.fault = ""
        if name in system.draining_s:
            server.restart()
            system.put_entry(name)
    for gateway in system.gateways:
        gateway.send_signal(signal.SIGCONT)
        await gateway.restart()
