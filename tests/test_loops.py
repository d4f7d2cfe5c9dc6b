"""Exceptions in the loops of a process: each is started again and ends no other."""

import asyncio
from random import Random

import pytest

from jacinthpath.gateway.loops import RECOVERED_AFTER_S, LoopSupervisor
from jacinthpath.metrics import Metrics
from standins.platform_documents import CONFIGURATION_KEY, configuration, route

from .gateway_simulation import NullEventLog
from .gateway_system import ROUTES, GatewaySystem

LOOP_STEPS = [
    ("leader-election", "_election", "_wait_for_renewal"),
    ("assigner", "_assigner", "run_once"),
    ("track-following", "_watcher", "_update_following"),
    ("watch-leader", "_watcher._health", "record_response", "leader"),
    ("watch-configuration", "_watcher._health", "record_response", "configuration"),
    ("watch-own", "_watcher._health", "record_response", "own"),
    ("watch-servers", "_watcher._health", "record_response", "servers"),
    ("expire-servers", "_view", "expire_servers"),
    ("fetch-from-peers", "_watcher", "_needs_peers"),
    ("follow-leader", "_peering._following", "record_response"),
    ("host-report", "_reporter", "_leaving_servers"),
    ("reach-probes", "_reach._reach", "due_probes"),
    ("publish-gauges", "_view", "store_age_s"),
    ("flush-logs", "_events", "flush"),
]
"""A loop, and a method of its step that the test makes fail, for this argument."""


class FailOnce:
    """Replaces a method of a component until one call, which raises.

    :param path: attributes that lead from a gateway to the component.
    :param argument: only a call with this first argument raises.
    """

    def __init__(self, gateway, path, name, argument=None):
        owner = gateway
        for attribute in path.split("."):
            owner = getattr(owner, attribute)
        self.owner, self.name, self.argument = owner, name, argument
        self.original = getattr(owner, name)
        self.failed = False
        setattr(owner, name, self)

    def __call__(self, *args, **options):
        if self.argument is not None and args[0] != self.argument:
            return self.original(*args, **options)
        self.restore()
        self.failed = True
        raise RuntimeError(f"raised in place of {self.name}")

    def restore(self):
        vars(self.owner).pop(self.name, None)


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start(gateways=2)
    await system.wait_until_ready()
    yield system
    await system.close()


def wake_watches(system):
    """Let the store respond to watches that wait for a change."""
    system.store.put(CONFIGURATION_KEY, configuration(3, ROUTES))
    system.store.put("jacinthpath/leader-of-another-prefix", b"")


async def serves_new_route(system, version):
    """Return whether all gateways serve a route that is added now."""
    routes = [*ROUTES, route("new", f"/new-{version}/", "plain")]
    system.store.put(CONFIGURATION_KEY, configuration(version, routes))
    for gateway in range(len(system.gateways)):
        async with asyncio.timeout(6.0):
            while (await system.send(f"/new-{version}/a", gateway=gateway))[0] != 200:
                await asyncio.sleep(0.05)
    return True


async def test_exception_in_any_loop_ends_no_loop(system):
    """Review 2: an exception that left one loop ended all loops of the process."""
    for name, *step in LOOP_STEPS:
        failures = [FailOnce(gateway, *step) for gateway in system.gateways]
        async with asyncio.timeout(4.0):
            while not any(failure.failed for failure in failures):
                wake_watches(system)
                await asyncio.sleep(0.1)
        for failure in failures:
            failure.restore()
        await asyncio.sleep(0.05)
        assert not any(gateway.crashed for gateway in system.gateways), name
        assert any(
            gateway._metrics.value("unexpected_errors_total", where=name)
            for gateway in system.gateways
        ), name
    assert await serves_new_route(system, 10)
    assert (await system.send("/keyed/a", key=7))[0] == 200


async def test_leader_whose_assigner_keeps_failing_leaves_the_role(system):
    """Such a leader granted nothing, and kept the others from leading."""
    leader, other = system.gateways
    if leader._election.authority is None:
        leader, other = other, leader

    async def fail():
        raise RuntimeError("failed")

    leader._assigner.run_once = fail
    async with asyncio.timeout(8.0):
        while other._election.authority is None:
            await asyncio.sleep(0.05)
    assert leader.unready_reason() == "failing-loop"
    assert other.unready_reason() == ""
    assert (await system.send("/keyed/a", key=7))[0] == 200


@pytest.fixture
def supervisor():
    supervisor = LoopSupervisor(Metrics(), NullEventLog(), Random(1), lambda: now_s[0])
    now_s = [100.0]
    supervisor.now_s = now_s
    return supervisor


async def test_loop_that_keeps_failing_makes_the_host_unready(supervisor):
    """A host whose loops had ended said that it was ready."""
    for _ in range(2):
        supervisor._record_failure("assigner", RuntimeError("failed"))
    assert not supervisor.failing()
    delay_s = supervisor._record_failure("assigner", RuntimeError("failed"))
    assert supervisor.failing() == ["assigner"]
    supervisor.now_s[0] += 1.5 * delay_s
    assert supervisor.failing() == ["assigner"]
    supervisor.now_s[0] += RECOVERED_AFTER_S
    assert not supervisor.failing()


async def test_restart_delay_is_bounded(supervisor):
    delays_s = [
        supervisor._record_failure("assigner", RuntimeError("failed"))
        for _ in range(2_000)
    ]
    assert delays_s[0] < delays_s[1] < delays_s[-1]
    assert 1.5 * delays_s[-1] < RECOVERED_AFTER_S


async def test_failed_task_is_counted(supervisor):
    async def fail():
        raise RuntimeError("failed")

    await supervisor.start_task("command", fail())
    assert supervisor._metrics.value("unexpected_errors_total", where="command") == 1
