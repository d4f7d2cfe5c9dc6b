"""Faults injected from outside the processes, registered by a decorator."""

from __future__ import annotations

__all__ = ["FAULTS", "fault", "heal"]

import asyncio
import json
import os
import signal
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

from .system import CRASHING_PATH, GRACE_PERIOD_S, Gateway, System
from .uploads import send_uploads

Fault = Callable[[System, float], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
"""Faults by name. Each undoes itself, most of them after the given seconds."""

SERVER_FAULTS = [
    "overloaded",
    "duplicate-response",
    "foreign-response",
    "no-length",
    "reset",
    "truncated",
    "no-response",
    "slow",
    "endless-body",
    "endless-chunks",
    "endless-interim",
    "refused-twice",
    "error-twice",
    "paused",
]
LIMITS = ["0.5", "2", "10"]
MIN_LIMITED_S = 8.0
"""A limit is checked from some seconds after it was named."""

MIN_CRASHING_S = 6.0
PROXY_MODES = ["delay", "reset", "silent", "one-way"]
CUT_MODES = ["reset", "silent", "one-way", "refuse-new"]
LINK_RATES_BYTES_PER_S = [250_000, 1_250_000]
"""2 and 10 Mbit/s; most hosts of the users' largest deployments have 10 or less."""

MORE_ROUTES = (300, 1_500)
CHANGE_INTERVALS_S = (0.05, 0.5)
MIN_CUT_S = 5.0
"""Callers of a host that is cut off are served by others from some seconds after."""

STORE_MODES = ["busy", "silent", "lossy"]
RESTART_DELAY_S = 0.5
REPEATED_SIGNAL_PAUSES_S = (0.3, 0.7, 0.05, 1.5)
MAX_COPY_AGE_S = 3.0
INTERPRETER_START_S = 0.2
CONTACT_S = 3.0
"""A process that was started later may get the signal before it handles signals."""

ODD_FIELDS = [
    {"info": {"service": "\ud800"}},
    {"info": {"zone": "\ud800"}},
    {"info": {"version": "\ud800"}},
    {"info": {"slots": -1}},
    {"status": {"sequence": -1}},
    {"status": {"state": "\ud800"}},
    {"born": -1},
    {"address": "\ud800:1"},
]
"""Fields that replace those of a server's entry. Escaped surrogates are valid JSON, but
cannot be encoded as UTF-8."""

ODD_KEYS = ["servers/", 'servers/ \n="/..', "servers/\ud800", "servers/" + "k" * 900]

UNREADABLE_ENTRIES = [
    b"[" * 5_000,
    b"\xff\xfe",
    b'{"info": {"service": "\\ud800", "version": "v", "zone": "a", "slots": 1},'
    b' "status": {"state": "ready", "sequence": 1}, "address": "127.0.0.1:1"}',
    b'{"info": {"service": "plain", "version": "v", "zone": "a", "slots": 1},'
    b' "status": {"state": "ready", "warmup_left": "' + b"9" * 400 + b's"},'
    b' "address": "127.0.0.1:1"}',
    b'{"info": {"service": "plain", "version": "v", "zone": "a", "slots": 1},'
    b' "status": {"state": "ready", "sequence": 1}, "address": "127.0.0.1:1"}',
    b'{"info": {"service": "unknown", "version": "v", "zone": "a", "slots": 1},'
    b' "status": {"state": "ready", "sequence": 1, "warmup_left": "0ms"},'
    b' "address": "127.0.0.1:1", "born": 5}',
]


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under ``name``."""

    def register(function: Fault) -> Fault:
        FAULTS[name] = function
        return function

    return register


def _random_gateway(system: System) -> Gateway:
    return system.random.choice(system.gateways)


@fault("host-killed")
async def _kill_host(system: System, duration_s: float) -> None:
    gateway = _random_gateway(system)
    gateway.record_disturbance()
    await gateway.kill()
    await asyncio.sleep(min(duration_s, RESTART_DELAY_S))
    await gateway.restart()


@fault("all-hosts-killed")
async def _kill_all_hosts(system: System, _duration_s: float) -> None:
    for gateway in system.gateways:
        gateway.record_disturbance()
        await gateway.kill()
    await asyncio.sleep(RESTART_DELAY_S)
    for gateway in system.gateways:
        await gateway.restart()


@fault("host-terminated")
async def _terminate_host(system: System, _duration_s: float) -> None:
    await _terminate_and_restart(_random_gateway(system))


@fault("hosts-terminated-in-turn")
async def _terminate_in_turn(system: System, _duration_s: float) -> None:
    for gateway in [*system.gateways]:
        await _terminate_and_restart(gateway)


async def _terminate_and_restart(gateway: Gateway) -> None:
    """Stop a process as the platform does, SIGKILL last, and start it again."""
    process = gateway.process
    terminated_s = time.monotonic()
    gateway.send_signal(signal.SIGTERM)
    repeating = asyncio.create_task(_repeat_signal(process))
    try:
        async with asyncio.timeout(GRACE_PERIOD_S):
            await process.wait()
    except TimeoutError:
        # A process that another fault keeps paused cannot exit in time.
        was_paused = gateway.paused_until_s >= terminated_s
        gateway.killed_after_grace = gateway.process is process and not was_paused
        await gateway.kill()
    finally:
        repeating.cancel()
    await gateway.restart()


async def _repeat_signal(process: asyncio.subprocess.Process) -> None:
    """Send SIGTERM again while a process stops; that changes nothing."""
    for pause_s in REPEATED_SIGNAL_PAUSES_S:
        await asyncio.sleep(pause_s)
        if process.returncode is not None:
            return
        # Popen.send_signal could take the exit status away from asyncio.
        with suppress(ProcessLookupError):
            os.kill(process.pid, signal.SIGTERM)


@fault("host-terminated-under-uploads")
async def _terminate_under_uploads(system: System, _duration_s: float) -> None:
    """A host is stopped while uploads arrive slowly, for servers that work for long."""
    gateway = _random_gateway(system)
    system.upload_rounds += 1
    prefix = f"order-upload-{system.upload_rounds}"
    address = f"{gateway.ip}:{gateway.front_port}"
    signals = gateway.signals
    has_settled = time.monotonic() - gateway.started_s > CONTACT_S
    uploads = asyncio.create_task(send_uploads(address, prefix, system.random))
    await _terminate_and_restart(gateway)
    outcomes = await uploads
    # Other faults may have stopped or killed the process too.
    if has_settled and gateway.signals == signals + 1:
        system.upload_outcomes += outcomes


@fault("unreadable-entries")
async def _write_unreadable_entries(system: System, duration_s: float) -> None:
    """Another writer puts entries that cannot be read beside those of the servers."""
    keys = []
    for number, content in enumerate(UNREADABLE_ENTRIES):
        keys.append(f"servers/unreadable-{number}")
        system.store.put(keys[-1], content)
    await asyncio.sleep(duration_s)
    for key in keys:
        system.store.delete(key)


@fault("odd-entry-and-drain")
async def _drain_beside_odd_entries(system: System, duration_s: float) -> None:
    """A server drains while other entries have fields or keys that no server writes."""
    name = system.random.choice([*system.servers])
    entry = json.loads(system.servers[name].entry())
    entry["address"] = "127.0.0.1:1"
    odd = {f"servers/odd-{n}": fields for n, fields in enumerate(ODD_FIELDS)}
    odd.update(dict.fromkeys(ODD_KEYS, {}))
    for key, fields in odd.items():
        system.store.put(key, json.dumps(_replace_fields(entry, fields)).encode())
        await asyncio.sleep(system.random.uniform(0.0, 0.2))
    # Hosts list again, as those do that start beside such entries.
    system.store.forget_history()
    await _drain_server_named(system, name, duration_s)
    for key in odd:
        system.store.delete(key)


def _replace_fields(entry: dict[str, Any], fields: dict[str, Any]) -> dict[str, Any]:
    """Return an entry with some of its fields replaced, also those of its objects."""
    replaced = dict(entry)
    for name, value in fields.items():
        is_object = isinstance(value, dict)
        replaced[name] = {**entry[name], **value} if is_object else value
    return replaced


@fault("slow-leader-link")
async def _slow_leader_link(system: System, duration_s: float) -> None:
    """The peer port of the leader has a link that carries little."""
    leader = system.leader()
    if leader is None:
        return
    link = leader.peer_proxy.link
    link.rate_bytes_per_s = system.random.choice(LINK_RATES_BYTES_PER_S)
    await asyncio.sleep(duration_s)
    link.rate_bytes_per_s = None


@fault("host-paused")
async def _pause_host(system: System, duration_s: float) -> None:
    gateway = _random_gateway(system)
    process = gateway.process
    gateway.paused_until_s = time.monotonic() + duration_s
    gateway.send_signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    if gateway.process is process:
        gateway.send_signal(signal.SIGCONT)


@fault("settings-read-again")
async def _reload_settings(system: System, _duration_s: float) -> None:
    for gateway in system.gateways:
        # SIGHUP would terminate an interpreter that is still starting.
        if time.monotonic() - gateway.started_s > INTERPRETER_START_S:
            gateway.send_signal(signal.SIGHUP)


@fault("store-path")
async def _disturb_store_path(system: System, duration_s: float) -> None:
    gateway = _random_gateway(system)
    gateway.record_disturbance()
    gateway.store_proxy.mode = system.random.choice(PROXY_MODES)
    if gateway.store_proxy.mode == "reset":
        gateway.store_proxy.reset()
    await asyncio.sleep(duration_s)
    gateway.store_proxy.mode = "pass"
    gateway.record_disturbance()


@fault("store")
async def _disturb_store(system: System, duration_s: float) -> None:
    system.record_disturbance()
    system.store.mode = system.random.choice(STORE_MODES)
    await asyncio.sleep(duration_s)
    system.store.mode = "up"
    system.record_disturbance()


@fault("history-forgotten")
async def _forget_history(system: System, _duration_s: float) -> None:
    system.store.forget_history()


@fault("store-restored")
async def _restore_store(system: System, duration_s: float) -> None:
    copy = system.store.copy()
    await asyncio.sleep(min(duration_s, MAX_COPY_AGE_S))
    system.record_disturbance()
    system.store.restore(copy)
    await asyncio.sleep(system.random.uniform(0.1, 1.5))
    system.write_again()
    system.record_disturbance()


@fault("server-leaving")
async def _let_server_leave(system: System, duration_s: float) -> None:
    """A server says in its responses alone that it is leaving."""
    name = system.random.choice([*system.servers])
    system.servers[name].leaving = True
    await asyncio.sleep(max(4.0, duration_s))
    system.servers[name].leaving = False
    system.servers[name].restart()
    system.put_entry(name)


@fault("server-limited")
async def _limit_server(system: System, duration_s: float) -> None:
    """A server names the request rate that it takes from all hosts together."""
    name = system.random.choice([*system.servers])
    system.name_limit(name, system.random.choice(LIMITS))
    await asyncio.sleep(MIN_LIMITED_S + duration_s)
    system.end_limit(name)


@fault("crashing-request")
async def _send_crashing_request(system: System, duration_s: float) -> None:
    """A request that ends each server that begins to run it comes again and again."""
    system.crashing_requests += 1
    path = f"{CRASHING_PATH}{system.crashing_requests}"
    until_s = time.monotonic() + MIN_CRASHING_S + duration_s
    number = 0
    while time.monotonic() < until_s:
        number += 1
        gateway = _random_gateway(system)
        await system.send_crashing_request(gateway, path, f"crash-{number}")
        await asyncio.sleep(system.random.uniform(0.2, 1.0))


@fault("server-path")
async def _disturb_server_path(system: System, duration_s: float) -> None:
    name = system.random.choice([*system.servers])
    system.set_server_mode(name, system.random.choice(PROXY_MODES))
    await asyncio.sleep(duration_s)
    system.set_server_mode(name, "pass")


@fault("hosts-cut-from-servers")
async def _cut_hosts_from_servers(system: System, duration_s: float) -> None:
    """One host, the leader, most hosts or all lose their paths to all servers."""
    count = system.random.choice([1, 1, len(system.gateways) - 1, len(system.gateways)])
    gateways = system.random.sample(system.gateways, count)
    leader = system.leader()
    if count == 1 and leader is not None and system.random.random() < 0.5:
        gateways = [leader]
    mode = system.random.choice(CUT_MODES)
    for gateway in gateways:
        gateway.cut_from_servers(mode)
    system.apply_path_modes()
    await asyncio.sleep(MIN_CUT_S + duration_s)
    for gateway in gateways:
        gateway.restore_paths()
    system.apply_path_modes()


@fault("server-answers")
async def _disturb_responses(system: System, duration_s: float) -> None:
    server = system.random.choice([*system.servers.values()])
    server.fault = system.random.choice(SERVER_FAULTS)
    await asyncio.sleep(duration_s)
    server.fault = ""


@fault("server-restarted")
async def _restart_server(system: System, _duration_s: float) -> None:
    name = system.random.choice([*system.servers])
    system.reset_server(name)
    system.servers[name].restart()
    system.put_entry(name)


@fault("server-drained")
async def _drain_server(system: System, duration_s: float) -> None:
    name = system.random.choice([*system.servers])
    await _drain_server_named(system, name, duration_s)


async def _drain_server_named(system: System, name: str, duration_s: float) -> None:
    system.put_entry(name, "draining")
    await asyncio.sleep(max(4.0, duration_s))
    system.servers[name].restart()
    system.put_entry(name)


@fault("entry-unreadable")
async def _put_unreadable_entry(system: System, duration_s: float) -> None:
    system.store.put("servers/mangled", b"\xff{")
    await asyncio.sleep(duration_s)
    system.store.delete("servers/mangled")


@fault("configured")
async def _configure(system: System, _duration_s: float) -> None:
    for _ in range(system.random.choice([1, 1, 5])):
        system.configure()
        await asyncio.sleep(0.02)


@fault("large-configuration")
async def _write_large_configurations(system: System, duration_s: float) -> None:
    """Hundreds of routes are added, and others change in quick succession."""
    routes = system.random.randint(*MORE_ROUTES)
    system.more_routes += routes
    until_s = time.monotonic() + duration_s
    while time.monotonic() < until_s:
        system.configure()
        await asyncio.sleep(system.random.uniform(*CHANGE_INTERVALS_S))
    system.more_routes -= routes
    system.configure()


async def heal(system: System) -> None:
    """Undo every fault that may still be in effect."""
    system.store.mode = "up"
    system.server_modes.clear()
    for gateway in system.gateways:
        gateway.store_proxy.mode = "pass"
        gateway.peer_proxy.link.rate_bytes_per_s = None
        gateway.restore_paths()
    system.apply_path_modes()
    for name, server in system.servers.items():
        server.fault = ""
        system.end_limit(name)
        if name in system.draining_since_s or server.leaving:
            server.leaving = False
            server.restart()
            system.put_entry(name)
    for gateway in system.gateways:
        gateway.send_signal(signal.SIGCONT)
        await gateway.restart()
