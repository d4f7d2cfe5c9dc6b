"""Dissemination of versioned topics to all control processes.

A new version is pushed to a few peers, which push it on. Each process also
compares versions with a random peer each second, so that an update still
arrives when relays were lost. Neither ever lowers a version.
"""

from __future__ import annotations

__all__ = [
    "Action",
    "Announce",
    "Digest",
    "DigestExchange",
    "Disseminator",
    "Fetch",
    "OfferResult",
    "Push",
    "Topic",
    "TopicStore",
    "choose_watchers",
]

import enum
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from .hashing import key_hash, rendezvous_rank

WATCHER_COUNT = 3
FAN_OUT = 4

# Pushes to two successors on the ring reach every live host despite one lost
# relay; with random peers alone, one change in twenty misses a host in a fleet of
# ten until the next exchange.
RING_SUCCESSORS = 2

EXCHANGE_INTERVAL_S = 1.0

# Exchange partners are drawn from a small set that changes slowly: a new
# connection costs a handshake of several hundred bytes.
PARTNER_COUNT = 24
PARTNER_CHANGE_INTERVAL_S = 10.0

# Larger contents are announced and fetched, so that a host receives them once
# instead of up to four times.
PUSH_LIMIT_BYTES = 2_048
FETCH_TIMEOUT_S = 0.5

# 16 topics take about 500 bytes of a digest; a larger number is spread over
# successive digests.
MAX_DIGEST_TOPICS = 16
MAX_TOPICS = 1_000
MAX_NAME_CHARACTERS = 200
TIER_GROWTH_FACTOR = 16


class Topic(NamedTuple):
    """One version of a topic."""

    name: str
    version: int
    content: bytes


class Digest(NamedTuple):
    """State that a process sends to a peer in each exchange.

    :param versions: version of each topic, or of a rotating subset.
    :param confirmed_age_s: age of the newest proof that the store was read.
    :param store_down: whether the sender reports the store as down.
    :param incarnation: higher after each start and each refuted suspicion.
    :param suspects: ``host@incarnation`` of hosts that the sender suspects.
    """

    sender: str
    versions: Mapping[str, int]
    confirmed_age_s: float = float("inf")
    store_down: bool = False
    incarnation: int = 0
    leaving: bool = False
    suspects: tuple[str, ...] = ()


class Push(NamedTuple):
    """Send topics to a peer."""

    peer: str
    topics: tuple[Topic, ...]


class Announce(NamedTuple):
    """Tell a peer the version of a topic that is too large to push."""

    peer: str
    name: str
    version: int


class Fetch(NamedTuple):
    """Ask a peer for topics."""

    peer: str
    names: tuple[str, ...]


class DigestExchange(NamedTuple):
    """Exchange digests with a peer."""

    peer: str


Action = Push | Announce | Fetch | DigestExchange


class OfferResult(enum.Enum):
    """Result of offering a version to a :class:`TopicStore`."""

    ACCEPTED = "accepted"
    KNOWN = "known"
    OLDER = "older"
    CONFLICTING = "conflicting"
    REFUSED = "refused"


class TopicStore:
    """Newest version of each topic; versions never decrease.

    ``conflicts`` counts offers of a known version with different content. They are
    refused, because compare-and-swap never accepts two contents for one version.
    """

    def __init__(self) -> None:
        self._topics: dict[str, Topic] = {}
        self.conflicts = 0

    def offer(self, topic: Topic) -> OfferResult:
        """Store a version if it is newer than the known one."""
        known = self._topics.get(topic.name)
        if known is None:
            too_many = len(self._topics) >= MAX_TOPICS
            if too_many or len(topic.name) > MAX_NAME_CHARACTERS or topic.version < 1:
                return OfferResult.REFUSED
        elif topic.version < known.version:
            return OfferResult.OLDER
        elif topic.version == known.version:
            if topic.content == known.content:
                return OfferResult.KNOWN
            self.conflicts += 1
            return OfferResult.CONFLICTING
        self._topics[topic.name] = topic
        return OfferResult.ACCEPTED

    def get(self, name: str) -> Topic | None:
        """Return the newest version of a topic, if any."""
        return self._topics.get(name)

    def version(self, name: str) -> int:
        """Return the version of a topic, 0 if it is not known."""
        topic = self._topics.get(name)
        return topic.version if topic else 0

    def versions(self) -> dict[str, int]:
        """Return the version of each topic."""
        return {name: topic.version for name, topic in self._topics.items()}

    def newer_than(self, versions: Mapping[str, int]) -> tuple[Topic, ...]:
        """Return the topics whose version is higher than in ``versions``."""
        return tuple(
            topic
            for topic in self._topics.values()
            if topic.version > versions.get(topic.name, 0)
        )


def choose_watchers(
    data_centres: Mapping[str, str], count: int = WATCHER_COUNT
) -> tuple[str, ...]:
    """Return the hosts that watch the configuration in the store.

    They are the first by rendezvous hash, in different data centres as far as
    possible, so that an unreachable data centre does not contain them all.

    :param data_centres: data centre of each live host.
    """
    ranked = rendezvous_rank("configuration", data_centres)
    first_of: dict[str, str] = {}
    for host in ranked:
        first_of.setdefault(data_centres[host], host)
    spread = list(first_of.values())
    rest = [host for host in ranked if host not in set(spread)]
    return tuple((spread + rest)[:count])


class Disseminator:
    """Decides what one process sends to which peers.

    Methods return the actions to carry out. The caller reports failed ones to
    :meth:`handle_contact_failure`.

    :param host: name of this host.
    :param topics: the topics to disseminate.
    :param randomness: source of all random choices.
    """

    def __init__(
        self, host: str, topics: TopicStore, randomness: random.Random
    ) -> None:
        self.host = host
        self.topics = topics
        self._random = randomness
        self._peers: list[str] = []
        self._ring: list[str] = []
        self._ranked_hosts: list[str] = []
        self._own_rank = 0
        self._partners: list[str] = []
        self._next_partner_change_s = 0.0
        self._sources: dict[str, list[str]] = {}
        self._fetches: dict[str, tuple[str, float]] = {}
        self._digest_offset = 0
        self._next_exchange_s = 0.0

    def set_hosts(self, data_centres: Mapping[str, str]) -> None:
        """Set the live hosts, including this one, and their data centres."""
        if data_centres.keys() == {self.host, *self._peers}:
            return
        ordered = sorted(data_centres, key=key_hash)
        start = ordered.index(self.host) if self.host in ordered else 0
        ring = ordered[start:] + ordered[:start]
        self._ring = [host for host in ring if host != self.host]
        self._peers = sorted(self._ring)
        watchers = choose_watchers(data_centres)
        ranked = rendezvous_rank("configuration", data_centres)
        first = set(watchers)
        self._ranked_hosts = [
            *watchers,
            *(host for host in ranked if host not in first),
        ]
        self._own_rank = (
            self._ranked_hosts.index(self.host)
            if self.host in data_centres
            else len(ranked)
        )
        self._partners = [peer for peer in self._partners if peer in data_centres]
        self._fill_partners()

    def publish(self, topic: Topic) -> tuple[OfferResult, list[Action]]:
        """Offer a version that was made or read here, and send it on if it is new."""
        return self.receive(topic, "")

    def receive(self, topic: Topic, sender: str) -> tuple[OfferResult, list[Action]]:
        """Offer a version that a peer sent, and send it on if it is new."""
        offer = self.topics.offer(topic)
        if offer is not OfferResult.ACCEPTED:
            return offer, []
        self._clear_fetch(topic)
        return offer, [
            self._make_send_action(peer, topic)
            for peer in self._choose_relays({sender})
        ]

    def learn_versions(
        self, sender: str, versions: Mapping[str, int], now_s: float
    ) -> list[Action]:
        """Return a fetch of the topics that a digest or announcement shows to be newer.

        A topic that is already being fetched from another peer is not fetched
        twice; the sender is kept as an alternative source of it.
        """
        wanted = []
        for name, version in versions.items():
            if version <= self.topics.version(name):
                continue
            _, started_s = self._fetches.get(name, ("", float("-inf")))
            if now_s - started_s < FETCH_TIMEOUT_S:
                self._sources.setdefault(name, []).append(sender)
                continue
            self._fetches[name] = (sender, now_s)
            wanted.append(name)
        return [Fetch(sender, tuple(wanted))] if wanted else []

    def handle_contact_failure(self, action: Action, now_s: float) -> list[Action]:
        """Return the actions that replace one whose peer did not respond."""
        if isinstance(action, Fetch):
            return [
                fetch
                for name in action.names
                for fetch in self._fetch_from_next_source(name, now_s)
            ]
        if isinstance(action, DigestExchange) or len(self._peers) < 2:
            return []
        candidates = self._ring[RING_SUCCESSORS:] or self._ring
        others = [peer for peer in candidates if peer != action.peer]
        return [action._replace(peer=self._random.choice(others))] if others else []

    def tick(self, now_s: float) -> list[Action]:
        """Return the exchange that is due, and fetches that replace timed-out ones."""
        actions: list[Action] = []
        for name, (_, started_s) in list(self._fetches.items()):
            if now_s - started_s >= FETCH_TIMEOUT_S:
                actions += self._fetch_from_next_source(name, now_s)
        if now_s < self._next_exchange_s or not self._peers:
            return actions
        jitter = 0.75 + 0.5 * self._random.random()
        self._next_exchange_s = now_s + EXCHANGE_INTERVAL_S * jitter
        if now_s >= self._next_partner_change_s:
            self._change_partner(now_s)
        actions.append(DigestExchange(self._random.choice(self._partners)))
        return actions

    def choose_peer_nearer_watchers(self) -> str | None:
        """Return a random host of the next tier towards the watchers.

        The watchers are the first tier; each further one is
        :data:`TIER_GROWTH_FACTOR` times as large, so 500 hosts have three tiers.
        """
        start, end = 0, WATCHER_COUNT
        while self._own_rank >= end + (end - start) * TIER_GROWTH_FACTOR:
            start, end = end, end + (end - start) * TIER_GROWTH_FACTOR
        nearer = [host for host in self._ranked_hosts[start:end] if host != self.host]
        return self._random.choice(nearer) if nearer else None

    def digest_versions(self) -> dict[str, int]:
        """Return the versions for a digest, in rotation if there are too many."""
        versions = self.topics.versions()
        if len(versions) <= MAX_DIGEST_TOPICS:
            return versions
        names = sorted(versions)
        start = self._digest_offset % len(names)
        self._digest_offset += MAX_DIGEST_TOPICS
        return {
            name: versions[name] for name in (names + names)[start:][:MAX_DIGEST_TOPICS]
        }

    def _choose_relays(self, excluded: Iterable[str]) -> list[str]:
        relays = [p for p in self._ring[:RING_SUCCESSORS] if p not in excluded]
        others = [p for p in self._peers if p not in excluded and p not in relays]
        count = min(FAN_OUT - len(relays), len(others))
        return relays + self._random.sample(others, count)

    def _make_send_action(self, peer: str, topic: Topic) -> Action:
        if len(topic.content) > PUSH_LIMIT_BYTES:
            return Announce(peer, topic.name, topic.version)
        return Push(peer, (topic,))

    def _clear_fetch(self, topic: Topic) -> None:
        self._fetches.pop(topic.name, None)
        self._sources.pop(topic.name, None)

    def _fetch_from_next_source(self, name: str, now_s: float) -> list[Action]:
        self._fetches.pop(name, None)
        sources = self._sources.get(name)
        if not sources:
            return []
        source = sources.pop(0)
        self._fetches[name] = (source, now_s)
        return [Fetch(source, (name,))]

    def _change_partner(self, now_s: float) -> None:
        self._next_partner_change_s = now_s + PARTNER_CHANGE_INTERVAL_S
        if self._partners:
            self._partners.pop(self._random.randrange(len(self._partners)))
        self._fill_partners()

    def _fill_partners(self) -> None:
        others = [peer for peer in self._peers if peer not in self._partners]
        count = min(PARTNER_COUNT - len(self._partners), len(others))
        self._partners += self._random.sample(others, count)
