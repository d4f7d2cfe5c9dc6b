"""Decisions about evacuated data centres, without a network."""

from types import SimpleNamespace

import pytest

from jacinthpath.codec import new_frame
from jacinthpath.gateway.assignment import Assignment, OwnedRange
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.evacuation_messages import (
    apply_evacuations,
    has_newer_evacuations,
    write_evacuations,
)
from jacinthpath.gateway.loads import LoadAggregator
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.move_planning import MovePlanner
from jacinthpath.gateway.ownership import Ownership
from jacinthpath.gateway.revisions import make_revision
from jacinthpath.gateway.store import Change, Item, Listing
from jacinthpath.platform import decode_backend, decode_route_table
from standins.platform_documents import configuration, route

from .gateway_simulation import NullEventLog

PREFIX = "e/"


class RecordingLog(NullEventLog):
    """Keeps the names of changes of state."""

    def __init__(self):
        self.names = []

    def log_state_change(self, event, **_fields):
        self.names.append(event)


class Clock:
    now_s = 1_000.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    for module in ("evacuation_state", "evacuation_messages", "cold_state"):
        monkeypatch.setattr(f"jacinthpath.gateway.{module}.boottime_s", clock)
    return clock


def make_view():
    view = ClusterView(
        RecordingLog(), decode_route_table, decode_backend, evacuation_s=5.0
    )
    view.log = view._events
    content = configuration(1, [route("r", "/", "keys")], warmup=("3s", 5.4))
    view.apply_configuration(content, 1, "test")
    for name, zone in (("a0", "a"), ("b0", "b"), ("b1", "b")):
        backend = Backend(name, "keys", "1.2.3.4:5", zone, 3, False, 0.0, 7, 1)
        view.directory.put(backend, 0.0)
    return view


def put(view, zone, revision, value=b"{}"):
    view.evacuations.apply(Change(PREFIX + zone, value, revision), PREFIX)


def test_evacuation_begins_at_once_and_closes_in_time(clock):
    """Guards against a bound that is counted anew with each message."""
    view = make_view()
    put(view, "a", 10)
    put(view, "a", 12)
    assert [one.server for one in view.open_servers("keys")] == ["b0", "b1"]
    assert not view.evacuated.is_closed("a", clock.now_s + 2.9)
    assert view.evacuated.is_closed("a", clock.now_s + 3.0)
    assert not view.evacuated.is_closed("b", clock.now_s + 9.0)


def test_two_keys_of_one_transaction_are_both_applied(clock):
    view = make_view()
    put(view, "a", 10)
    put(view, "b", 10)
    assert view.open_servers("keys") == []


def test_older_change_and_list_are_ignored(clock):
    """Guards against late messages that undo the end of an evacuation, or its begin."""
    view = make_view()
    put(view, "a", 10)
    put(view, "a", 12, None)
    put(view, "a", 11)
    view.evacuations.replace_by_peer({"a": 1.0}, 11, "peer")
    assert not view.evacuated
    view.evacuations.replace(Listing((Item("e/b", b"{}", 5),), 20), PREFIX)
    assert view.evacuated.listed() == {"b": clock.now_s}


@pytest.fixture(params=["store", "peer"])
def restored_view(request, clock):
    """Return a view of a restored store whose first list contains no evacuation."""
    view = make_view()
    put(view, "a", make_revision(1, 90))
    clock.now_s += 4.0
    if request.param == "store":
        view.evacuations.replace(Listing((), make_revision(2, 50)), PREFIX)
    else:
        view.evacuations.replace_by_peer({}, make_revision(2, 50), "peer")
    return view


def test_evacuation_that_a_restored_store_lacks_goes_on(restored_view, clock):
    """Guards against requests to an evacuated data centre, whose key the operator has
    not written again yet."""
    view = restored_view
    assert [one.server for one in view.open_servers("keys")] == ["b0", "b1"]
    assert view.evacuated.is_closed("a", clock.now_s)
    assert not view.evacuated.listed()
    clock.now_s += 1.0
    put(view, "c", make_revision(2, 60))
    assert "a" in view.evacuated
    put(view, "a", make_revision(2, 61))
    clock.now_s += 3.0
    view.evacuations.expire()
    assert view.evacuated.is_closed("a", clock.now_s)
    assert set(view.evacuated.listed()) == {"a", "c"}
    assert "evacuation_ended" not in view.log.names


def test_evacuation_that_nobody_writes_again_ends(restored_view, clock):
    """Guards against a data centre that gets no requests for ever."""
    view = restored_view
    clock.now_s += 2.4
    view.evacuations.expire()
    assert "a" in view.evacuated
    clock.now_s += 0.2
    view.evacuations.expire()
    assert not view.evacuated
    assert view.log.names.count("evacuation_ended") == 1


def test_evacuation_that_is_taken_back_after_a_restore_ends_at_once(restored_view):
    put(restored_view, "a", make_revision(2, 60), None)
    assert not restored_view.evacuated


@pytest.mark.parametrize("value", [b"", b"[]", b"{", b"\xff", b"7"])
def test_unreadable_value_is_logged_and_has_no_effect(clock, value):
    """Guards against a slip of the operator that empties a data centre."""
    view = make_view()
    put(view, "a", 10, value)
    assert not view.evacuated
    put(view, "a", 11)
    put(view, "a", 12, value)
    view.evacuations.replace(Listing((Item("e/a", value, 12),), 20), PREFIX)
    assert "a" in view.evacuated
    assert view.log.names.count("document_refused") == 2


def test_data_centre_without_servers_is_logged_until_it_has_one(clock):
    view = make_view()
    put(view, "c", 10)
    assert view.log.names[-1] == "evacuation_without_servers"
    assert len(view.open_servers("keys")) == 3
    backend = Backend("c0", "keys", "1.2.3.4:5", "c", 3, False, 0.0, 7, 1)
    view.directory.put(backend, 0.0)
    assert len(view.open_servers("keys")) == 3


def test_peers_subtract_the_age_of_an_evacuation(clock):
    """Guards against a bound that each host counts from when it was told."""
    leader, follower = make_view(), make_view()
    wanted = SimpleNamespace(takesEvacuations=True, evacuationsRevision=0)
    put(leader, "a", 10)
    clock.now_s += 2.0
    content = new_frame().body.init("documents")
    write_evacuations(content, wanted, leader)
    apply_evacuations(content, follower, "peer")
    assert follower.evacuated.is_closed("a", clock.now_s + 1.1)
    wanted.evacuationsRevision = follower.evacuated.revision
    assert not has_newer_evacuations(leader, wanted)
    again = new_frame().body.init("documents")
    write_evacuations(again, wanted, leader)
    apply_evacuations(again, follower, "peer")
    assert "a" in follower.evacuated


def plan(view, owners):
    size = 65_536 // len(owners)
    ranges = tuple(
        OwnedRange(index * size, (index + 1) * size - 1, server, "1.2.3.4:5", 7, 1)
        for index, server in enumerate(owners)
    )
    ownership = Ownership(Assignment(1, {"keys": ranges}, ()), 0.0, {})
    planner = MovePlanner(ownership, view, LoadAggregator())
    return planner, planner.plan_service_moves("keys", 0.0)


def test_all_ranges_move_to_servers_outside_at_once(clock):
    """Guards against ranges that wait for others, and for one server that gets all."""
    view = make_view()
    put(view, "a", 10)
    planner, moves = plan(view, ["a0"] * 8)
    assert planner.needs_evacuation()
    assert sum(move.last - move.first + 1 for move in moves) == 65_536
    assert {move.target for move in moves} == {"b0", "b1"}
