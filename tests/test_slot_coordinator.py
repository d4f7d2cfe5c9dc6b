"""Rules of the slot coordinator, by a state machine and by single cases."""

from itertools import count
from random import Random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from jacinthpath.gateway.capacity import slot_coordinator
from jacinthpath.gateway.capacity.slot_coordinator import SlotCoordinator
from jacinthpath.gateway.capacity.slot_rates import MAX_OWED
from jacinthpath.gateway.capacity.slots import (
    ServerCapacity,
    SlotId,
    SlotOutcome,
    SlotRequest,
    SlotResult,
    SlotState,
)

from .slot_simulation import MeanEstimate

DONE = SlotResult(SlotOutcome.COMPLETED, 0.2)
NAMES = ["s0", "s1", "s2"]
RATE_PER_S = 5.0


class Harness:
    """A coordinator, and what it has granted."""

    def __init__(self, **capacities):
        self.coordinator = SlotCoordinator(MeanEstimate, Random(3))
        self.now_s, self.numbers = 100.0, count()
        self.decisions, self.granted = {}, []
        self.set_servers(**capacities)

    def set_servers(self, rate_limit_per_s=None, started_ms=1, **slots):
        self.coordinator.set_servers(
            [
                ServerCapacity(name, started_ms, size, rate_limit_per_s)
                for name, size in slots.items()
            ],
            self.now_s,
        )

    def ask(self, **fields):
        values = dict(server="", flow=0, priority=0, returning=False)
        values |= dict(objective_left_s=2.0, deadline_left_s=5.0) | fields
        slot = SlotId("host", next(self.numbers))
        request = SlotRequest(slot, **values)
        self.decisions[slot] = self.coordinator.request(request, self.now_s)
        return request

    def state(self, request):
        return self.decisions[request.slot].state

    def give_back(self, request, result=DONE):
        self.coordinator.give_back(request.slot, result, self.now_s)
        self.advance(0.0)

    def advance(self, elapsed_s):
        self.now_s += elapsed_s
        for slot, decision in self.coordinator.advance(self.now_s):
            self.decisions[slot] = decision
            if decision.state is SlotState.GRANTED:
                self.granted.append(slot)


class SlotMachine(RuleBasedStateMachine):
    """Requests, returns, time and changes of servers in any order."""

    def __init__(self):
        super().__init__()
        self.coordinator = SlotCoordinator(MeanEstimate, Random(1))
        self.now_s, self.numbers = 0.0, count()
        self.requests, self.asked_s, self.decisions, self.leases = {}, {}, {}, {}
        self.rated_grants_s = []
        self.servers = {}
        self.list_servers([2, 1, 1])

    def take(self, slot, decision):
        before = self.decisions.get(slot)
        if before is not None and before.state is SlotState.REFUSED:
            assert before.reason == "full" or decision.state is SlotState.REFUSED
        self.decisions[slot] = decision
        if decision.state is not SlotState.GRANTED:
            return
        request, name = self.requests[slot], decision.server
        assert name in self.servers and name not in request.excluded
        assert request.server in ("", name)
        expires_s = self.asked_s[slot] + request.deadline_left_s
        assert self.now_s < expires_s
        self.leases[slot] = (name, expires_s)
        held = [one for one, _ in self.leases.values() if one == name]
        assert len(held) <= self.servers[name].slots + 1
        if name == "s2":
            self.rated_grants_s.append(self.now_s)

    def expire(self):
        self.leases = {
            slot: lease for slot, lease in self.leases.items() if lease[1] > self.now_s
        }

    def advance(self):
        self.expire()
        for slot, decision in self.coordinator.advance(self.now_s):
            self.take(slot, decision)

    @rule(
        server=st.sampled_from(["", "", *NAMES, "unknown"]),
        flow=st.integers(0, 3),
        priority=st.integers(-1, 2),
        returning=st.booleans(),
        objective_left_s=st.sampled_from([-1.0, 0.1, 0.5, 3.0]),
        deadline_left_s=st.sampled_from([float("nan"), -1.0, 0.3, 1.0, 6.0]),
        excluded=st.frozensets(st.sampled_from(NAMES), max_size=2),
        may_wait=st.booleans(),
    )
    def ask(self, **fields):
        slot = SlotId("host", next(self.numbers))
        request = self.requests[slot] = SlotRequest(slot, **fields)
        self.asked_s[slot] = self.now_s
        self.expire()
        self.take(slot, self.coordinator.request(request, self.now_s))
        self.advance()

    @precondition(lambda self: self.requests)
    @rule(data=st.data())
    def ask_again(self, data):
        slot = data.draw(st.sampled_from(list(self.requests)))
        self.advance()
        decision = self.coordinator.request(self.requests[slot], self.now_s)
        before = self.decisions[slot]
        if before.state is SlotState.GRANTED and slot not in self.leases:
            assert decision.reason == "ended"
        else:
            assert decision == before

    @precondition(lambda self: self.requests)
    @rule(
        data=st.data(),
        outcome=st.sampled_from(SlotOutcome),
        duration_s=st.sampled_from([-1.0, float("nan"), 0.2, 1e9]),
    )
    def give_back(self, data, outcome, duration_s):
        slot = data.draw(st.sampled_from([*self.requests, SlotId("other", 0)]))
        self.advance()
        result = SlotResult(outcome, duration_s)
        self.leases.pop(slot, None)
        if slot in self.requests:
            if self.decisions[slot].state is SlotState.WAITING:
                del self.requests[slot]
        self.coordinator.give_back(slot, result, self.now_s)
        self.advance()

    @rule(elapsed_s=st.sampled_from([0.001, 0.03, 0.2, 1.1, 7.0]))
    def pass_time(self, elapsed_s):
        self.now_s += elapsed_s
        self.advance()

    @rule(started_ms=st.lists(st.integers(0, 2), min_size=3, max_size=3))
    def list_servers(self, started_ms):
        """Change the servers; those with 0 leave, others may restart."""
        self.expire()
        known = self.servers
        self.servers = {
            name: ServerCapacity(name, ms, 2, RATE_PER_S if name == "s2" else None)
            for name, ms in zip(NAMES, started_ms, strict=True)
            if ms
        }
        changed = {name for name in NAMES if known.get(name) != self.servers.get(name)}
        self.leases = {
            slot: lease
            for slot, lease in self.leases.items()
            if lease[0] not in changed
        }
        self.coordinator.set_servers(self.servers.values(), self.now_s)
        self.advance()

    @invariant()
    def each_slot_is_accounted_for_once(self):
        waiting = [
            slot
            for slot in self.requests
            if self.decisions[slot].state is SlotState.WAITING
        ]
        assert len(self.coordinator._queue) == len(waiting)
        assert len(self.coordinator._ledger) == len(self.leases)
        for server in self.coordinator._servers.values():
            held = [one for one, _ in self.leases.values()]
            assert server.in_use == held.count(server.capacity.server)

    @invariant()
    def rate_limit_holds_in_any_time(self):
        for index, start_s in enumerate(self.rated_grants_s):
            for number, end_s in enumerate(self.rated_grants_s[index:], start=1):
                assert number <= 1 + RATE_PER_S * (end_s - start_s) + 1e-4

    def teardown(self):
        self.now_s += 20.0
        self.advance()
        assert not len(self.coordinator._ledger) and not len(self.coordinator._queue)


TestSlotMachine = SlotMachine.TestCase
TestSlotMachine.settings = settings(max_examples=150, stateful_step_count=40)


def fill(harness, places=4, **fields):
    return [harness.ask(flow=1_000 + index, **fields) for index in range(places)]


def test_order_of_those_that_wait():
    """Guards the order: priority, late, returning, use of the flow, arrival."""
    harness = Harness(s0=3)
    busy = fill(harness)
    last = harness.ask(priority=1, flow=1)
    late = harness.ask(objective_left_s=0.01, flow=2)
    second_of_flow = [harness.ask(flow=3) for _ in range(2)][1]
    other = harness.ask(flow=4)
    returning = harness.ask(flow=5, returning=True)
    for request in busy:
        harness.give_back(request)
    first = SlotId("host", second_of_flow.slot.number - 1)
    assert harness.granted[:2] == [returning.slot, other.slot]
    assert harness.granted[2:] == [first, second_of_flow.slot]
    assert {harness.state(late), harness.state(last)} == {SlotState.WAITING}


def test_urgent_work_displaces_what_becomes_hopeless():
    """Guards against holding a request that can no longer be served in time."""
    harness = Harness(s0=3)
    fill(harness)
    waiting = harness.ask(priority=1, objective_left_s=0.8)
    assert harness.state(waiting) is SlotState.WAITING
    for flow in range(12):
        harness.ask(flow=flow)
    harness.advance(0.03)
    assert harness.decisions[waiting.slot].reason == "no-room-in-time"
    assert harness.decisions[waiting.slot].retry_s >= 0.1


@pytest.mark.parametrize("urgent_per_grant", [1, 4, 20])
def test_share_of_less_urgent_work_under_pressure(urgent_per_grant):
    """Guards against starvation, and against better service for less urgent work.

    With twenty urgent requests to each other one, a tenth of the grants would serve the
    less urgent work better, so that it gets only the same part of its requests.
    """
    harness = Harness(s0=3)
    done = SlotResult(SlotOutcome.COMPLETED, 0.08)
    held, granted, asked = fill(harness), {0: 0, 1: 0}, {0: 0, 1: 0}
    priorities = {}
    for step in range(1_500):
        for priority in [0] * urgent_per_grant + [1]:
            request = harness.ask(priority=priority, flow=step % 50)
            priorities[request.slot] = priority
            asked[priority] += 1
        harness.advance(0.02)
        harness.give_back(held.pop(0), done)
        for slot in harness.granted:
            granted[priorities[slot]] += 1
            held.append(SlotRequest(slot, "", 0, 0, False, 0, 0))
        harness.granted.clear()
        if not held:
            break
    served = [granted[priority] / asked[priority] for priority in (0, 1)]
    assert served[1] <= served[0] + 0.005
    is_as_good = served[1] > 0.95 * served[0]
    assert is_as_good or granted[1] >= 0.1 * sum(granted.values()) - MAX_OWED
    assert is_as_good == (urgent_per_grant == 20)


def test_memory_is_bounded(monkeypatch):
    """Guards the host's memory, and urgent work when too many wait."""
    monkeypatch.setattr(slot_coordinator, "MAX_WAITING", 5)
    monkeypatch.setattr(slot_coordinator, "MAX_REMEMBERED", 7)
    harness = Harness(s0=3)
    fill(harness)
    harness.advance(3.0)
    waiting = [harness.ask(priority=1, flow=flow) for flow in range(8)]
    urgent = harness.ask(flow=9)
    harness.advance(0.0)
    assert harness.state(urgent) is SlotState.WAITING
    assert [harness.state(one) for one in waiting].count(SlotState.WAITING) == 4
    for _ in range(20):
        harness.ask(server="unknown")
    assert len(harness.coordinator._over) == 7


def test_flow_leaves_places_to_others_of_its_server():
    """Guards the other keys of a server against one that has many requests."""
    harness = Harness(s0=3)
    harness.ask(server="s0", flow=2)
    hot = [harness.ask(server="s0", flow=1) for _ in range(9)]
    states = [harness.state(one) for one in hot]
    assert states.count(SlotState.GRANTED) == 2
    assert states.count(SlotState.WAITING) <= 4
    assert harness.state(harness.ask(server="s0", flow=3)) is SlotState.GRANTED


def test_full_is_no_last_word():
    """Guards the second question, which may wait, after one that might not."""
    harness = Harness(s0=3)
    busy = fill(harness)
    request = harness.ask(may_wait=False)
    assert harness.decisions[request.slot].reason == "full"
    again = request._replace(may_wait=True)
    decision = harness.coordinator.request(again, harness.now_s)
    assert decision.state is SlotState.WAITING
    harness.give_back(busy[0])
    assert harness.granted == [request.slot]


def test_token_starts_a_waiting_request():
    """Guards against requests that wait although their server may take one."""
    harness = Harness(s0=3, rate_limit_per_s=5.0)
    request = harness.ask()
    assert harness.state(request) is SlotState.WAITING
    while not harness.granted and harness.now_s < 100.3:
        harness.now_s = harness.coordinator.next_change_s(harness.now_s)
        harness.advance(0.0)
    assert harness.granted == [request.slot]
    assert harness.now_s < 100.3


def test_nothing_is_granted_after_its_deadline():
    """Guards requests whose deadline is earlier than their objective."""
    harness = Harness(s0=3, rate_limit_per_s=5.0)
    request = harness.ask(objective_left_s=3.0, deadline_left_s=0.9)
    assert harness.state(request) is SlotState.WAITING
    harness.advance(1.1)
    assert harness.state(request) is SlotState.REFUSED
    assert not harness.granted


def test_calls_for_advance_are_apart():
    """Guards against a loop without pause, which rounding of times has caused."""
    harness = Harness(s0=3)
    fill(harness, places=5)
    harness.advance(0.0)
    for _ in range(50):
        before_s = harness.now_s
        harness.now_s = harness.coordinator.next_change_s(before_s)
        harness.advance(0.0)
        assert harness.now_s - before_s > 0.001


def test_wait_is_refused_at_once_when_its_deadline_moves_before_its_turn():
    """Guards against requests of a host that stops, which wait until its end."""
    harness = Harness(s0=1)
    while harness.state(harness.ask()) is SlotState.GRANTED:
        pass
    first = harness.ask(objective_left_s=50.0, deadline_left_s=60.0)
    second = harness.ask(objective_left_s=50.0, deadline_left_s=60.0)
    assert harness.state(first) is harness.state(second) is SlotState.WAITING
    for asked, deadline_left_s in ((first, 2.0), (second, 0.25)):
        again = asked._replace(deadline_left_s=deadline_left_s)
        harness.coordinator.request(again, harness.now_s)
    harness.advance(slot_coordinator.REVIEW_INTERVAL_S)
    assert harness.state(first) is SlotState.WAITING
    assert harness.state(second) is SlotState.REFUSED
    assert harness.decisions[second.slot].retry_s > 0
