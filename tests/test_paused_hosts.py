"""Real processes that stand still while callers leave (issue 40, GONE)."""

import asyncio
import signal
from random import Random

import pytest

from soak.callers import Callers
from soak.guarantees import GuaranteeChecker
from soak.system import System

HOSTS = 4
CALLERS = 20
LEAVE_AFTER_S = 0.25
PAUSED_ON_S = 0.8


@pytest.mark.parametrize("mode", ["reset", "silent"])
async def test_paused_hosts_relay_nothing_for_callers_that_left(tmp_path, mode):
    """Half of the requests that waited in paused hosts were sent once these went on."""
    system = System(tmp_path, Random(1))
    await system.start(HOSTS, 3)
    callers = Callers(system, GuaranteeChecker(system))
    try:
        assert await callers.wait_for_recovery()
        cut, others = system.gateways[:2], system.gateways[2:]
        for gateway in cut:
            gateway.cut_from_servers(mode)
        system.apply_path_modes()
        for _ in range(15):
            await asyncio.gather(*(callers._send(one, "read", 0) for one in cut))
            await asyncio.sleep(0.1)
        for gateway in others:
            gateway.send_signal(signal.SIGSTOP)
        before = executed(system)
        calls = [
            asyncio.create_task(callers._send(gateway, "read", 0))
            for gateway in cut
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(LEAVE_AFTER_S)
        for call in calls:
            call.cancel()
        await asyncio.sleep(PAUSED_ON_S)
        for gateway in others:
            gateway.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        assert executed(system) == before
    finally:
        await callers.close()
        await system.close()


def executed(system):
    return sum(len(server.executed_attempts) for server in system.servers.values())
