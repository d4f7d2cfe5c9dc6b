"""Failure detection: suspicion, refutation, isolation and replacement."""

import random

import pytest

from jacinthpath.membership import HostState, MembershipView

NAMES = [f"host-{number}" for number in range(6)]
LIST = [(name, "dc", f"10.0.0.{i}:1", False) for i, name in enumerate(NAMES)]


@pytest.fixture
def view():
    view = MembershipView("host-0", 1)
    view.apply_host_list(LIST, 0.0)
    for name in NAMES[1:]:
        view.record_digest(name, 1, False, (), 0.0, answered=True)
    return view


def declare_host_1_lost(view, now_s):
    view.record_contact_failure("host-1", now_s)
    view.record_digest("host-2", 1, False, ("host-1@1",), now_s, answered=True)
    view.tick(now_s + 2.5)


class NaiveView:
    """Treats one failed contact as a loss and one digest as a recovery.

    Shows that the test detects flapping.
    """

    def __init__(self):
        self.lost, self.changes = False, 0

    def record_contact(self, lost):
        self.changes += lost != self.lost
        self.lost = lost


def test_host_with_a_lossy_link_does_not_flap(view):
    """Without a suspicion period, each lost message would remove the host."""
    naive, changes, state = NaiveView(), 0, HostState.ALIVE
    for step in range(40):
        now_s = step / 2
        if step % 2:
            view.record_contact_failure("host-1", now_s)
        else:
            view.record_digest("host-1", 1, False, (), now_s, answered=True)
        naive.record_contact(bool(step % 2))
        view.tick(now_s)
        lost = view.state("host-1") is HostState.LOST
        changes += lost != (state is HostState.LOST)
        state = view.state("host-1")
    assert changes == 0
    assert naive.changes == 39


def test_loss_needs_a_second_witness_or_a_longer_timeout(view):
    view.record_contact_failure("host-1", 1.0)
    view.tick(4.0)
    assert view.state("host-1") is HostState.SUSPECTED
    view.record_digest("host-2", 1, False, ("host-1@1",), 4.0, answered=False)
    assert view.state("host-1") is HostState.LOST
    view.record_contact_failure("host-3", 1.0)
    view.tick(11.5)
    assert view.state("host-3") is HostState.LOST


def test_suspicion_by_a_peer_is_verified_before_it_is_passed_on(view):
    """An unverified suspicion would circulate after the host was reached again."""
    view.record_digest("host-2", 1, False, ("host-1@1",), 1.0, answered=False)
    assert view.state("host-1") is HostState.ALIVE
    assert view.suspects(random.Random(1)) == ()
    assert view.choose_suspect_to_contact(1.0, random.Random(1)) == "host-1"
    view.record_digest("host-1", 1, False, (), 1.1, answered=True)
    assert view.choose_suspect_to_contact(5.0, random.Random(1)) is None


def test_digest_sent_before_the_loss_does_not_make_the_host_alive(view):
    """An unsolicited digest may have waited in a socket buffer."""
    declare_host_1_lost(view, 1.0)
    assert not view.record_digest("host-1", 1, False, (), 4.0, answered=False)
    assert view.state("host-1") is HostState.LOST
    assert view.record_digest("host-1", 2, False, (), 5.0, answered=False)
    assert view.state("host-1") is HostState.ALIVE


def test_suspected_host_refutes_with_a_higher_incarnation():
    suspected = MembershipView("host-1", 1)
    suspected.apply_host_list(LIST, 0.0)
    suspected.record_digest("host-2", 1, False, ("host-1@1",), 1.0, answered=True)
    assert suspected.incarnation == 2
    suspected.record_digest("host-3", 1, False, ("host-1@1",), 1.0, answered=True)
    assert suspected.incarnation == 2


def test_isolated_host_declares_no_host_lost_and_recovers_at_once(view):
    """A host that is cut off cannot contact any other, although all of them run."""
    for name in NAMES[1:]:
        view.record_contact_failure(name, 1.0)
    view.tick(60.0)
    assert HostState.LOST not in {member.state for member in view.members()}
    view.record_digest("host-4", 1, False, (), 61.0, answered=True)
    assert len(view.usable()) == 5


def test_replacement_host_does_not_inherit_a_suspicion(view):
    declare_host_1_lost(view, 1.0)
    replaced = [(n, d, "10.0.1.1:1" if n == "host-1" else a, s) for n, d, a, s in LIST]
    view.apply_host_list(replaced, 5.0)
    assert view.state("host-1") is HostState.ALIVE
    assert view.get("host-1").incarnation == 0


def test_outdated_host_list_neither_recovers_nor_removes_a_host(view):
    declare_host_1_lost(view, 1.0)
    view.apply_host_list(LIST, 4.0)
    assert view.state("host-1") is HostState.LOST
    without = [host for host in LIST if host[0] not in ("host-1", "host-2")]
    view.apply_host_list(without, 4.0)
    assert view.get("host-1") is None
    assert view.state("host-2") is HostState.ALIVE, "exchanges with it succeed"
    view.apply_host_list(without, 90.0)
    assert view.get("host-2") is None


def test_leaving_is_reported_by_the_host_list_or_the_host(view):
    view.record_digest("host-1", 1, True, (), 1.0, answered=False)
    view.apply_host_list([(n, d, a, n == "host-2") for n, d, a, _ in LIST], 1.0)
    states = [view.state(name) for name in NAMES[1:4]]
    assert states == [HostState.LEAVING, HostState.LEAVING, HostState.ALIVE]


def test_digest_lists_a_bounded_number_of_suspects():
    view = MembershipView("host", 1)
    hosts = [(f"h{number}", "dc", f"a:{number}", False) for number in range(100)]
    view.apply_host_list(hosts, 0.0)
    for name, *_ in hosts[:30]:
        view.record_contact_failure(name, 1.0)
    assert len(view.suspects(random.Random(1))) == 8
