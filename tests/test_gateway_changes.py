"""Deltas of assignments and server lists: followers end in the leader's state."""

import json

import pytest
from hypothesis import given, strategies as st

from jacinthpath.codec import new_frame
from jacinthpath.errors import JacinthpathError
from jacinthpath.gateway.assignment import (
    Assignment,
    LeaderProcess,
    OwnedRange,
    encode_assignment,
)
from jacinthpath.gateway.assignment_delta import (
    MAX_KEPT_ASSIGNMENTS,
    AssignmentHistory,
    apply_delta,
    encode_delta,
)
from jacinthpath.gateway.clock import boottime_s
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.directory import ServerDirectory
from jacinthpath.gateway.model import Backend
from jacinthpath.gateway.peer_messages import apply_documents, write_documents

from .gateway_simulation import NullEventLog

SERVERS = ["s1", "s2", "s3"]


@st.composite
def owned_ranges(draw):
    edges = sorted(draw(st.sets(st.integers(0, 200), min_size=2, max_size=12)))
    ranges = []
    for first, end in zip(edges, edges[1:], strict=False):
        server = draw(st.sampled_from(SERVERS))
        target = draw(st.sampled_from(["", "", *SERVERS]))
        remaining_hold_s = draw(st.sampled_from([0.5, 2.25])) if target else 0.0
        fence = draw(st.integers(1, 5))
        ranges.append(
            OwnedRange(
                first, end - 1, server, "a:1", 7, fence, target, remaining_hold_s
            )
        )
    return tuple(ranges)


assignments = st.builds(
    Assignment,
    st.integers(1, 99),
    st.dictionaries(st.sampled_from(["x", "y"]), owned_ranges()),
    st.sampled_from([(), (LeaderProcess("p", "a:2"),)]),
)


@given(assignments, assignments)
def test_delta_turns_the_older_assignment_into_the_newer(older, newer):
    """A host with a wrong assignment sends requests to servers without the key."""
    result = apply_delta(older, encode_delta(older, newer))
    assert result == newer
    assert {*result.ranges} == {*newer.ranges}


def test_delta_of_one_range_is_small():
    """Whole assignments filled the links of a fleet of 90 hosts."""
    ranges = tuple(
        OwnedRange(first, first + 99, f"server-{first}", "10.0.0.1:80", 7, 3)
        for first in range(0, 60_000, 100)
    )
    older = Assignment(3, {"keys": ranges})
    new_ranges = (*ranges[:5], ranges[5]._replace(server="s", fence=4), *ranges[6:])
    newer = Assignment(4, {"keys": new_ranges})
    assert len(encode_delta(older, newer)) < 0.02 * len(encode_assignment(newer))


@pytest.mark.parametrize(
    "content", [b"", b"[]", b"{}", b'{"lives":[],"ranges":{"x":[[1]]},"removed":{}}']
)
def test_malformed_delta_is_refused(content):
    with pytest.raises(JacinthpathError, match="assignment delta"):
        apply_delta(Assignment(1, {}), content)


def test_delta_with_overlapping_ranges_is_refused():
    """A delta must not lead to two owners of one key."""
    older = Assignment(1, {"x": (OwnedRange(0, 9, "s1", "a:1", 1, 1),)})
    newer = Assignment(2, {"x": (OwnedRange(5, 9, "s2", "a:1", 1, 2),)})
    document = json.loads(encode_delta(older, newer))
    document["removed"] = {"x": []}
    with pytest.raises(JacinthpathError, match="overlap|out of order"):
        apply_delta(older, json.dumps(document).encode())


def test_only_the_newest_assignments_are_kept():
    history = AssignmentHistory()
    for revision in range(1, MAX_KEPT_ASSIGNMENTS + 2):
        history.add(revision, Assignment(revision, {}))
    assert history.delta_since(1) is None
    assert history.delta_since(2) is not None
    assert history.delta_since(MAX_KEPT_ASSIGNMENTS + 1) is None


def backend(server, started_ms=1, draining=False, revision=1):
    return Backend(
        server, "x", f"{server}:1", "a", 3, draining, 0.0, started_ms, revision
    )


def server_states(directory):
    return {(b.server, b.started_ms, b.draining) for b in directory.all().values()}


def test_server_delta_leads_to_the_newer_list():
    leader, follower = ServerDirectory(), ServerDirectory()
    for server in SERVERS:
        leader.put(backend(server), 0.0)
        follower.put(backend(server), 0.0)
    base = leader.digest()
    assert follower.digest() == base
    leader.put(backend("s1", started_ms=2, revision=5), 1.0)
    leader.put(backend("s4", revision=6), 1.0)
    leader.remove("s2", 7, 1.0)
    delta = leader.delta_since(base)
    assert {b.server for b in delta.backends} == {"s1", "s4"}
    assert delta.removed == ("s2",)
    follower.apply_delta(delta, leader.revision, 1.0)
    assert server_states(follower) == server_states(leader)
    assert follower.digest() == leader.digest()


def test_server_that_was_started_again_has_not_said_that_it_leaves():
    """Guards against reports that name a new incarnation for what the last one said, so
    that no host sends it anything (soak seed 52106)."""
    directory = ServerDirectory()
    directory.put(backend("s1"), 0.0)
    assert directory.mark_leaving("s1", 1, 0.0)
    assert [one.started_ms for one in directory.observed_leaving()] == [1]
    directory.put(backend("s1", started_ms=2, revision=2), 1.0)
    assert directory.observed_leaving() == []
    assert server_states(directory) == {("s1", 2, False)}


def test_no_server_delta_from_an_unknown_digest():
    leader = ServerDirectory()
    leader.put(backend("s1"), 0.0)
    assert leader.delta_since(12_345) is None


class Host:
    """View of one host, and its requests for documents to a peer."""

    def __init__(self):
        self.view = ClusterView(NullEventLog(), None, None)
        self.view.record_servers_contact()

    def fetch_from(self, peer, age_ms=0):
        """Request documents from a peer, apply them and return them."""
        wanted = new_frame().body.init("documentsWanted")
        wanted.assignmentRevision = self.view.assignment_revision
        wanted.serversDigest = self.view.directory.digest()
        wanted.takesChanges = self.view.accepts_deltas
        frame = new_frame()
        content = frame.body.init("documents")
        content.ageMs = age_ms
        write_documents(content, wanted, peer.view)
        apply_documents(content, self.view, "peer")
        return content


def encoded_assignment(fence, server):
    ranges = (OwnedRange(0, 9, server, "a:1", 1, fence),)
    return encode_assignment(Assignment(fence, {"x": ranges}))


@pytest.fixture
def leader_and_follower():
    leader, follower = Host(), Host()
    leader.view.apply_assignment(encoded_assignment(1, "s1"), 11, "own")
    follower.fetch_from(leader)
    return leader, follower


def test_follower_gets_deltas_after_a_whole_assignment(leader_and_follower):
    leader, follower = leader_and_follower
    assert follower.view.assignment_revision == 11
    leader.view.apply_assignment(encoded_assignment(2, "s2"), 12, "own")
    content = follower.fetch_from(leader)
    assert content.assignmentBase == 11
    assert follower.view.assignment == leader.view.assignment
    assert follower.view.owners["x"].find(3).server == "s2"
    assert json.loads(follower.view.encoded_assignment()) == json.loads(
        leader.view.encoded_assignment()
    )


def test_whole_assignment_follows_a_delta_that_cannot_be_applied(leader_and_follower):
    """A host that refused a delta never learned the owners again."""
    leader, follower = leader_and_follower
    leader.view.apply_assignment(encoded_assignment(2, "s2"), 12, "own")
    follower.view.apply_assignment_delta(b"{}", 11, 12, "peer")
    assert follower.view.assignment_revision == 11
    content = follower.fetch_from(leader)
    assert content.assignmentBase == 0
    assert follower.view.assignment == leader.view.assignment
    assert follower.view.accepts_deltas


def test_delta_from_another_revision_is_ignored(leader_and_follower):
    leader, follower = leader_and_follower
    delta = encode_delta(leader.view.assignment, Assignment(9, {}))
    follower.view.apply_assignment_delta(delta, 10, 12, "peer")
    assert follower.view.assignment == leader.view.assignment


def test_first_servers_may_arrive_as_a_delta(leader_and_follower):
    """72 of 90 hosts that had started before the servers did not become ready for
    callers: a delta did not mark the servers as known."""
    leader, follower = leader_and_follower
    leader.view.directory.digest()
    follower.fetch_from(leader)
    assert not follower.view.servers_known
    leader.view.directory.put(backend("s1"), 0.0)
    follower.fetch_from(leader)
    assert follower.view.servers_known


def test_follower_gets_deltas_of_servers(leader_and_follower):
    leader, follower = leader_and_follower
    for host in leader_and_follower:
        host.view.directory.put(backend("s1"), 0.0)
        host.view.directory.put(backend("s2"), 0.0)
    leader.view.directory.digest()
    leader.view.directory.put(backend("s1", draining=True, revision=4), 0.0)
    content = follower.fetch_from(leader)
    assert [entry.server for entry in content.servers] == ["s1"]
    assert server_states(follower.view.directory) == server_states(
        leader.view.directory
    )
    leader.view.directory.remove("s2", 5, 1.0)
    assert list(follower.fetch_from(leader).serversGone) == ["s2"]
    assert server_states(follower.view.directory) == server_states(
        leader.view.directory
    )


AGE_S = 0.5


@pytest.fixture
def equally_old_hosts(leader_and_follower):
    """Two hosts that know the same servers, of nearly the same age.

    Ages are sent in whole milliseconds, so the follower's list seems to be younger.
    """
    leader, follower = leader_and_follower
    for host in leader_and_follower:
        host.view.directory.put(backend("s1"), 0.0)
        host.view.directory.put(backend("s2"), 0.0)
        host.view.directory.digest()
    leader.view.servers_contact_s = boottime_s() - AGE_S
    follower.view.servers_contact_s = leader.view.servers_contact_s + 0.001
    return leader, follower


def test_newer_servers_of_the_same_age_are_applied(equally_old_hosts):
    """A list within a millisecond of the last one was left out, though newer."""
    leader, follower = equally_old_hosts
    leader.view.directory.put(backend("s1", draining=True, revision=4), 0.0)
    follower.fetch_from(leader)
    assert follower.view.directory.find("s1").draining


def test_drain_that_no_revision_of_the_store_tells_is_applied(equally_old_hosts):
    """A server said to a host that it is leaving; its entry had not changed."""
    leader, follower = equally_old_hosts
    leader.view.record_leaving("s1", 1)
    follower.fetch_from(leader)
    assert follower.view.directory.find("s1").draining


def test_older_servers_are_not_applied(equally_old_hosts):
    """A host that has read the store since must not return to its leader's list."""
    leader, follower = equally_old_hosts
    follower.view.directory.remove("s2", 7, 1.0)
    follower.view.record_servers_contact()
    follower.fetch_from(leader)
    assert follower.view.directory.find("s2") is None


def test_servers_of_a_peer_without_news_are_not_applied(equally_old_hosts):
    """A peer that has lost the store may list servers that have left."""
    leader, follower = equally_old_hosts
    leader.view.directory.put(backend("s1", started_ms=9, revision=4), 0.0)
    leader.view.servers_contact_s -= 2.0
    follower.fetch_from(leader)
    assert follower.view.directory.find("s1").started_ms == 1


def test_servers_that_a_watch_has_confirmed_are_not_older_than_a_list(
    equally_old_hosts,
):
    """The revision of a list is the store's, that of a watch was its last change's."""
    leader, follower = equally_old_hosts
    # Other keys have changed meanwhile.
    follower.view.directory.replace_all([backend("s1"), backend("s2")], 90, 1.0)
    leader.view.record_servers_contact(boottime_s() - AGE_S, 92)
    leader.view.record_leaving("s1", 1)
    follower.fetch_from(leader)
    assert follower.view.directory.find("s1").draining
