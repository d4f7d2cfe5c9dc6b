"""Dissemination of topics and freshness among processes that stop or freeze."""

import asyncio
import random

import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from

from jacinthpath.change_values import (
    CONFIGURATION_KEY,
    decode_value,
    encode_topic_content,
)
from jacinthpath.changes import ConfigurationClient
from jacinthpath.dissemination import (
    Announce,
    DigestExchange,
    Disseminator,
    Fetch,
    OfferResult,
    Push,
    Topic,
    TopicStore,
    choose_watchers,
)
from jacinthpath.errors import StoreError
from jacinthpath.freshness import Freshness, FreshnessTracker
from jacinthpath.gossip import GossipNode

from .fake_store import FakeStore

NAMES = [f"host-{number}" for number in range(10)]
HOSTS = [
    (name, f"dc-{number % 4}", f"10.0.0.{number}:1", False)
    for number, name in enumerate(NAMES)
]
CONFIGURATION = "configuration"


class Network:
    """Carries out the actions of nodes at once, between reachable ones."""

    def __init__(self):
        self.now_s = 0.0
        self.starts = 0
        self.cut = set()
        self.frozen = {}
        self.nodes = {}
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.starts += 1
        data_centre = next(host[1] for host in HOSTS if host[0] == name)
        node = GossipNode(name, data_centre, self.starts, random.Random(self.starts))
        node.apply_host_list(HOSTS, self.now_s)
        self.nodes[name] = node

    def reaches(self, sender, receiver):
        return not {sender, receiver} & self.cut and receiver not in self.frozen

    def carry_out(self, sender, actions):
        queue = [(sender, action) for action in actions]
        while queue:
            sender, action = queue.pop(0)
            node, peer = self.nodes[sender], self.nodes[action.peer]
            if sender in self.frozen:
                self.frozen[sender].append(action)
            elif not self.reaches(sender, action.peer):
                replacements = node.handle_failure(action, self.now_s)
                queue += [
                    (sender, item) for item in replacements if item.peer != sender
                ]
            else:
                queue += self._deliver(node, peer, action)

    def _deliver(self, node, peer, action):
        sender, receiver = node.host, peer.host
        if isinstance(action, Push):
            return self._offer(peer, action.topics, sender)
        if isinstance(action, Announce):
            versions = {action.name: action.version}
            fetches = peer.handle_announcement(sender, versions, self.now_s)
            return [(receiver, item) for item in fetches]
        if isinstance(action, Fetch):
            topics = [peer.topics.get(name) for name in action.names]
            return self._offer(node, [t for t in topics if t], receiver)
        response, by_peer = peer.handle_digest(node.make_digest(self.now_s), self.now_s)
        by_node = node.handle_response(response, self.now_s, self.now_s)
        return [(receiver, item) for item in by_peer] + [
            (sender, item) for item in by_node
        ]

    def _offer(self, node, topics, sender):
        queue = []
        for topic in topics:
            _, actions = node.handle_topic(topic, sender)
            queue += [(node.host, action) for action in actions]
        return queue

    def pass_time(self, seconds):
        for _ in range(int(seconds * 4)):
            self.now_s += 0.25
            for name, node in list(self.nodes.items()):
                if name not in self.frozen:
                    self.carry_out(name, node.tick(self.now_s))

    def versions(self):
        return [node.topics.version(CONFIGURATION) for node in self.nodes.values()]


@pytest.mark.parametrize("size_bytes", [10, 100_000])
def test_push_reaches_all_hosts_despite_a_lost_relay_without_a_tick(size_bytes):
    network = Network()
    network.cut = {"host-3"}
    topic = Topic(CONFIGURATION, 1, b"x" * size_bytes)
    network.carry_out("host-0", network.nodes["host-0"].publish(topic)[1])
    assert network.versions() == [1, 1, 1, 0, 1, 1, 1, 1, 1, 1]


def test_digest_exchanges_deliver_a_version_whose_pushes_were_all_lost():
    """With pushes alone, the other hosts would never receive the version."""
    network = Network()
    network.nodes["host-0"].publish(Topic(CONFIGURATION, 1, b"x"))
    assert sum(network.versions()) == 1, "pushes alone end here"
    network.pass_time(8)
    assert set(network.versions()) == {1}


def test_store_outage_right_after_the_first_read_does_not_stop_dissemination():
    """Hosts must not have to read the store: only one host did before the outage."""
    network = Network()
    network.cut = set(NAMES) - {"host-0"}
    topic = Topic(CONFIGURATION, 1, b"x" * 5_000)
    network.carry_out("host-0", network.nodes["host-0"].publish(topic)[1])
    assert sum(network.versions()) == 1
    network.cut = set()
    network.pass_time(8)
    assert set(network.versions()) == {1}


def test_host_replaced_during_an_outage_receives_the_version_from_its_peers():
    network = Network()
    topic = Topic(CONFIGURATION, 4, b"x")
    network.carry_out("host-0", network.nodes["host-0"].publish(topic)[1])
    network.start("host-7")
    assert network.nodes["host-7"].topics.version(CONFIGURATION) == 0
    network.pass_time(3)
    assert network.nodes["host-7"].topics.version(CONFIGURATION) == 4


class NaiveTopicStore(TopicStore):
    """Stores whatever was received last; shows that the test detects old content."""

    def offer(self, topic):
        self._topics[topic.name] = topic
        return OfferResult.ACCEPTED


@pytest.mark.parametrize("make_store", [TopicStore, NaiveTopicStore])
def test_old_content_from_a_resumed_relay_is_not_applied(make_store):
    """A frozen relay that resumes pushes the version that it had before."""
    topics = make_store()
    relay = Disseminator("relay", TopicStore(), random.Random(1))
    relay.set_hosts({"relay": "a", "other": "b"})
    _, delayed_pushes = relay.publish(Topic(CONFIGURATION, 1, b"old"))
    topics.offer(Topic(CONFIGURATION, 1, b"old"))
    topics.offer(Topic(CONFIGURATION, 2, b"new"))
    for push in delayed_pushes:
        topics.offer(push.topics[0])
    expected = 1 if make_store is NaiveTopicStore else 2
    assert topics.version(CONFIGURATION) == expected


def test_known_version_with_different_content_is_refused_and_counted():
    topics = TopicStore()
    topics.offer(Topic("t", 1, b"a"))
    assert topics.offer(Topic("t", 1, b"b")) is OfferResult.CONFLICTING
    assert (topics.get("t").content, topics.conflicts) == (b"a", 1)
    assert topics.offer(Topic("x" * 300, 1, b"")) is OfferResult.REFUSED


def test_large_content_announced_by_several_peers_is_fetched_once():
    node = Disseminator("a", TopicStore(), random.Random(1))
    node.set_hosts(dict.fromkeys("abcd", "dc"))
    assert node.learn_versions("b", {"t": 1}, 0.0) == [Fetch("b", ("t",))]
    assert node.learn_versions("c", {"t": 1}, 0.1) == []
    assert Fetch("c", ("t",)) in node.tick(0.6), "the first source did not respond"


def test_digests_rotate_over_many_topics():
    node = Disseminator("a", TopicStore(), random.Random(1))
    for number in range(40):
        node.publish(Topic(f"table/{number}", 1, b""))
    digests = [node.digest_versions() for _ in range(3)]
    assert max(map(len, digests)) == 16
    assert len({name for digest in digests for name in digest}) == 40


def test_watchers_are_in_different_data_centres_and_change_little():
    hosts = {name: data_centre for name, data_centre, _, _ in HOSTS}
    watchers = choose_watchers(hosts)
    assert len({hosts[name] for name in watchers}) == 3
    rest = {name: dc for name, dc in hosts.items() if name != watchers[0]}
    assert len(set(watchers) & set(choose_watchers(rest))) >= 1
    assert choose_watchers({"only": "dc"}) == ("only",)


def make_confirmed_network(now_s):
    network = Network()
    network.now_s = now_s
    for node in network.nodes.values():
        if node.is_watcher():
            node.freshness.record_store_read(now_s)
    return network


def test_isolated_host_turns_stale_while_the_others_stay_fresh():
    network = make_confirmed_network(0.0)
    network.pass_time(2)
    network.cut = {"host-5"}
    for _ in range(8):
        network.pass_time(1)
        for name, node in network.nodes.items():
            if node.is_watcher() and name != "host-5":
                node.freshness.record_store_read(network.now_s)
    states = {name: node.state(network.now_s) for name, node in network.nodes.items()}
    assert states.pop("host-5") is Freshness.STALE
    assert set(states.values()) == {Freshness.FRESH}


def test_outage_that_most_data_centres_confirm_makes_no_host_stale():
    network = make_confirmed_network(0.0)
    for _ in range(20):
        network.pass_time(1)
        for node in network.nodes.values():
            if node.is_watcher() or node.should_probe_store(network.now_s):
                node.freshness.record_store_failure(network.now_s)
        states = {node.state(network.now_s) for node in network.nodes.values()}
        assert Freshness.STALE not in states
    assert states == {Freshness.OUTAGE}


def test_response_that_waited_while_the_host_was_frozen_confirms_nothing():
    """A confirmation must not be dated by the arrival of its response."""
    tracker = FreshnessTracker("dc-0")
    tracker.record_response("host-1", "dc-1", 0.1, False, requested_at_s=100.0)
    resumed_at_s = 130.0
    assert tracker.state(resumed_at_s, {"dc-0", "dc-1"}) is Freshness.STALE
    assert resumed_at_s - 0.1 > 100.0 + 5.0, "dated by its arrival it would be fresh"


def test_single_host_does_not_confirm_an_outage_by_itself():
    tracker = FreshnessTracker("dc-0")
    tracker.record_store_failure(9.0)
    assert tracker.state(10.0, {"dc-0"}) is Freshness.STALE


def run(awaitable):
    return asyncio.run(awaitable)


class DisseminationMachine(RuleBasedStateMachine):
    """Any order of changes, reads, partitions, freezes and restarts."""

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.store = FakeStore()
        self.highest = dict.fromkeys(NAMES, 0)
        self.count = 0

    @rule(lost=sampled_from([None, None, "written", "not written"]))
    def apply(self, lost):
        self.count += 1
        self.store.lose_responses[CONFIGURATION_KEY] = [lost] if lost else []
        text = (
            "[templates.t.services.s]\n"
            f"deadline_ms = {self.count}\n"
            'endpoints = [{ server = "p", address = "10.0.0.1:80" }]\n'
        )

        async def apply():
            client = ConfigurationClient(self.store, sleep=lambda _: asyncio.sleep(0))
            parent = (await client.read()).entry.version
            await client.apply(text, "ana", parent)

        try:
            run(apply())
        except StoreError:
            assert self.store.down

    @rule(name=sampled_from(NAMES), stale=integers(0, 1))
    def read_store(self, name, stale):
        if name in self.network.cut or name in self.network.frozen:
            return
        self.store.stale_reads = stale
        try:
            value = run(self.store.get(CONFIGURATION_KEY))
        except StoreError:
            return
        finally:
            self.store.stale_reads = 0
        if value is None:
            return
        read = decode_value(CONFIGURATION_KEY, value.data)
        topic = Topic(
            CONFIGURATION, read.entry.version, encode_topic_content(value.data)
        )
        _, actions = self.network.nodes[name].publish(topic)
        self.network.carry_out(name, actions)

    @rule()
    def switch_store(self):
        self.store.down = not self.store.down

    @rule(name=sampled_from(NAMES))
    def switch_cut(self, name):
        self.network.cut ^= {name}

    @rule(name=sampled_from(NAMES))
    def switch_frozen(self, name):
        delayed_actions = self.network.frozen.pop(name, None)
        if delayed_actions is None:
            self.network.frozen[name] = []
        else:
            self.network.carry_out(name, delayed_actions)

    @rule(name=sampled_from(NAMES))
    def restart(self, name):
        self.network.frozen.pop(name, None)
        self.network.start(name)
        self.highest[name] = 0

    @rule()
    def pass_time(self):
        self.network.pass_time(1)

    @invariant()
    def versions_never_go_down(self):
        for name, node in self.network.nodes.items():
            version = node.topics.version(CONFIGURATION)
            assert version >= self.highest[name]
            self.highest[name] = version
            assert node.topics.conflicts == 0

    def teardown(self):
        self.store.down = False
        self.network.cut = set()
        for name in list(self.network.frozen):
            self.switch_frozen(name)
        self.read_store("host-0", 0)
        self.network.pass_time(6)
        value = run(self.store.get(CONFIGURATION_KEY))
        accepted = (
            decode_value(CONFIGURATION_KEY, value.data).entry.version if value else 0
        )
        assert set(self.network.versions()) == {accepted}


TestDissemination = DisseminationMachine.TestCase
TestDissemination.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=20
)


def test_exchange_partners_are_few_and_change_slowly():
    """Random partners would lead to a connection to every host of a large fleet."""
    node = Disseminator("host-0", TopicStore(), random.Random(3))
    node.set_hosts({f"host-{number}": "dc" for number in range(500)})
    partners = set()
    for step in range(1200):
        for action in node.tick(step * 0.25):
            assert isinstance(action, DigestExchange)
            partners.add(action.peer)
    assert len(partners) <= 24 + 300 / 10 + 1
