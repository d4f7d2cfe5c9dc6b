"""How a host's configuration came into force, and how current it is."""

from random import Random

import pytest

from jacinthpath.codec import new_frame
from jacinthpath.gateway.cluster_view import ClusterView
from jacinthpath.gateway.configuration_messages import choose_form
from jacinthpath.gateway.following import Following
from jacinthpath.gateway.link_budget import LinkBudget
from jacinthpath.gateway.peer_messages import apply_documents, write_documents
from jacinthpath.platform import decode_backend, decode_route_table
from standins.platform_documents import configuration, route

from .gateway_simulation import NullEventLog

ROUTES = [route(f"r{number}", f"/p{number}/", "plain") for number in range(100)]


class RecordingEvents(NullEventLog):
    def __init__(self):
        self.lines = []

    def log_state_change(self, event, **fields):
        self.lines.append((event, fields))


@pytest.fixture
def events():
    return RecordingEvents()


@pytest.fixture
def view(events):
    return ClusterView(events, decode_route_table, decode_backend)


@pytest.fixture
def leader():
    return ClusterView(NullEventLog(), decode_route_table, decode_backend)


def fetch(view, peer, may_send=lambda _size_bytes: True, is_old=False, **requested):
    """Fetch documents of a peer; return the response.

    :param is_old: whether the requester is of a build that takes whole documents only.
    """
    wanted = new_frame().body.init("documentsWanted")
    wanted.configurationRevision = view.configuration.revision
    if not is_old:
        wanted.configurationVersion = view.configuration.version
        wanted.configurationDigest = view.configuration.digest
        wanted.configurationUnwanted = view.configuration.refused_digest
        wanted.takesParts = view.configuration.accepts_parts
        wanted.takesCompressed = True
    for name, value in requested.items():
        setattr(wanted, name, value)
    frame = new_frame()
    content = frame.body.init("documents")
    form = choose_form(peer, wanted, may_send)
    write_documents(content, wanted, peer, form=form)
    apply_documents(content, view, "peer")
    return content


def refuse(_content):
    raise ValueError("a field of another build")


def configuration_with_change(version):
    routes = [*ROUTES, route("changed", f"/changed-{version}/", "plain")]
    return configuration(version, routes)


def test_line_of_a_configuration_tells_what_its_delay_is_made_of(view, events):
    """Issue 43: the logs of a late configuration showed neither size nor source age."""
    content = configuration(3, ROUTES)
    view.apply_configuration(content, 1, "store")
    ((event, fields),) = events.lines
    assert event == "configuration_in_force"
    assert (fields["bytes"], fields["routes"]) == (len(content), len(ROUTES))
    assert fields["decode_ms"] > 0
    assert fields["confirmed_ms"] == "never"


def test_age_of_the_configuration_is_that_of_its_source(view, leader):
    """A follower must not take an old configuration of its leader for a current one."""
    fetch(view, leader)
    assert view.configuration.age_s() > 1_000_000
    leader.configuration.record_confirmed(age_s=7.0)
    fetch(view, leader)
    assert 7.0 <= view.configuration.age_s() < 8.0
    leader.configuration.record_confirmed()
    fetch(view, leader)
    assert view.configuration.age_s() < 1.0


def test_follower_gets_only_what_changed(view, leader):
    """One link carried the whole document to each host for every changed route."""
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    first = fetch(view, leader)
    assert first.configurationCompressed and not first.configuration
    for version in (4, 7):
        leader.apply_configuration(configuration_with_change(version), version, "store")
        content = fetch(view, leader)
        assert not content.configurationCompressed
        new_bytes = sum(len(part.new) for part in content.configurationParts)
        assert new_bytes < len(view.configuration.content) / 10
        assert view.configuration.content == leader.configuration.content
        assert view.configuration.revision == version


def test_whole_configuration_follows_parts_that_do_not_apply(view, leader):
    """A host that refused parts would be sent the same ones without end."""
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    fetch(view, leader)
    view.configuration.apply_parts((), 5, 2, "peer")
    leader.apply_configuration(configuration_with_change(4), 2, "store")
    assert fetch(view, leader).configurationCompressed
    assert view.configuration.version == 4
    assert view.configuration.accepts_parts


def test_parts_that_were_overtaken_are_ignored(view, leader):
    """A host that got a version from the store before its parts arrived refused these,
    and was sent the next version whole."""
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    fetch(view, leader)
    base = view.configuration.digest
    view.apply_configuration(configuration_with_change(4), 2, "store")
    leader.apply_configuration(configuration_with_change(4), 2, "store")
    fetch(view, leader, configurationDigest=base, configurationRevision=1)
    assert view.configuration.accepts_parts
    leader.apply_configuration(configuration_with_change(5), 3, "store")
    assert len(fetch(view, leader).configurationParts)


def test_host_reads_the_store_when_the_link_of_the_leader_is_full(view, leader):
    """59 of 69 hosts have links that take 6.6 s for the whole document of all."""
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    leader.configuration.record_confirmed()
    content = fetch(view, leader, may_send=lambda _size_bytes: False)
    assert content.configurationAtStore
    assert view.routes is None
    assert view.configuration.age_s() > 1_000_000


def test_parts_of_a_version_that_the_store_sent_first(view, leader, events):
    """The version was logged as refused, and the next one requested whole."""
    whole = configuration(2, ROUTES)
    view.apply_configuration(whole, 2, "store")
    view.configuration.apply_parts((), view.configuration.digest, 3, "peer")
    assert "document_refused" not in [event for event, _ in events.lines]
    assert view.configuration.accepts_parts
    assert view.configuration.revision == 3


def test_builds_that_know_neither_parts_nor_compression_get_the_whole(view, leader):
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    content = fetch(view, leader, lambda _size_bytes: False, is_old=True)
    assert content.configuration == leader.configuration.content
    assert view.configuration.version == 3


def test_configuration_that_a_host_cannot_read_is_sent_once(view, leader):
    """The leader was asked again at once, without end, by each host that refused it."""
    view.configuration._decode_routes = refuse
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    assert fetch(view, leader).configurationCompressed
    again = fetch(view, leader)
    assert not again.configurationCompressed
    assert not again.configurationAtStore


@pytest.mark.parametrize("compressed", [b"x", b"\x78\x9c", bytes(50)])
def test_compressed_configuration_that_is_damaged_is_refused(view, compressed):
    view.apply_configuration(configuration_with_change(3), 1, "store")
    view.apply_compressed_configuration(compressed, 5, 9, "peer")
    assert view.configuration.version == 3
    assert not view.configuration.refuses_newer()


def test_compressed_configuration_that_was_cut_short_is_not_taken(view, leader):
    """A part of a document was taken for one that cannot be read."""
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    state = leader.configuration
    view.apply_compressed_configuration(state.compressed()[:-30], state.digest, 1, "p")
    assert not view.configuration.refuses_newer()
    assert fetch(view, leader).configurationCompressed
    assert view.configuration.version == 3


def test_many_changed_routes_are_sent_compressed_within_the_budget(view, leader):
    """1,400 added routes are as large as the whole document: 66 Mbit for 68 hosts."""
    leader.apply_configuration(configuration(3, ROUTES), 1, "store")
    fetch(view, leader)
    more = [route(f"m{n}", f"/m{n}/", "plain") for n in range(1_400)]
    leader.apply_configuration(configuration(4, [*ROUTES, *more]), 2, "store")
    taken = []
    content = fetch(view, leader, lambda size_bytes: taken.append(size_bytes) or True)
    size_bytes = content.total_size.word_count * 8
    assert size_bytes < len(leader.configuration.content) / 4
    assert len(taken) == 1 and taken[0] > 0.9 * size_bytes
    assert view.configuration.version == 4


def test_host_that_the_store_fails_gets_the_whole_from_a_full_link(view, leader):
    leader.apply_configuration(configuration_with_change(3), 1, "store")
    fetch(view, leader, lambda _size_bytes: False, storeFails=True)
    assert view.configuration.version == 3


def test_host_that_refused_a_version_gets_an_older_one_of_a_peer(view, leader):
    """A host that started while nobody could read the newest version got none."""
    view.configuration._decode_routes = refuse
    view.apply_configuration(configuration_with_change(9), 10, "store")
    view.configuration._decode_routes = decode_route_table
    leader.apply_configuration(configuration_with_change(3), 8, "store")
    fetch(view, leader)
    assert view.configuration.version == 3
    assert view.configuration.refuses_newer()


def test_link_budget_admits_its_share():
    """Whole documents must leave the link to callers."""
    now_s = 0.0
    budget = LinkBudget(1_000.0, lambda: now_s)
    assert [budget.take(100) for _ in range(3)] == [True, True, False]
    now_s = 1.0
    assert budget.take(10_000)
    now_s = 30.0
    assert not budget.take(1)


@pytest.mark.parametrize(
    ("applying_s", "least_s", "most_s"),
    [(0.0, 0.0, 0.15), (0.07, 0.28, 0.3), (9, 0.3, 0.3)],
)
def test_slow_host_asks_less_often(view, applying_s, least_s, most_s):
    """In a storm of versions, decoding them took most of a weak host's time."""
    following = Following(view, "10.0.0.1:7")
    following.applying_s = applying_s
    assert least_s - 1e-9 <= following.pause_s(Random(1)) <= most_s


def test_new_address_of_a_host_reaches_the_followers(view, leader):
    """Only the number of hosts was compared: relays went on to a host's old address."""
    for peer in (view, leader):
        peer.apply_peer_address("a", b"10.0.0.1:7")
    leader.apply_peer_address("a", b"10.0.0.2:7")
    fetch(view, leader, hosts=1, hostsDigest=view.hosts_digest())
    assert view.peer_addresses == {"a": "10.0.0.2:7"}
    assert not len(fetch(view, leader, hostsDigest=view.hosts_digest()).hosts)
