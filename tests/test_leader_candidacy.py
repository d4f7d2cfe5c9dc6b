"""Which host leads when several could: the leader sends documents to all others."""

from random import Random
from types import SimpleNamespace

import pytest

from jacinthpath.gateway.leader_election import LeaderElection

from .gateway_simulation import NullEventLog

WEAK_BYTES_PER_S = 1_250_000
STRONG_BYTES_PER_S = 25_000_000


@pytest.fixture
def new_election():
    reach = SimpleNamespace(is_cut_off=lambda: False, has_failures=lambda: False)
    loops = SimpleNamespace(is_failing=lambda _name: False)
    random = Random(1)

    def create(link_bytes_per_s):
        return LeaderElection(
            *(None, None, reach, NullEventLog(), random),
            *("host", "address", "process", 1.0, link_bytes_per_s, loops),
        )

    return create


def test_host_with_a_weak_link_leaves_the_others_time(new_election):
    """Hosts with links of 10 Mbit/s led, and their links were full for ten seconds."""
    weak, strong = new_election(WEAK_BYTES_PER_S), new_election(STRONG_BYTES_PER_S)
    for _ in range(200):
        assert weak._candidacy_delay_s() > strong._candidacy_delay_s()


def test_host_that_may_have_missed_grants_leaves_the_others_time(new_election):
    """Guards against keys without owners for 17 s after a restore of the store, while
    another host could have the servers release them."""
    late, known = new_election(STRONG_BYTES_PER_S), new_election(WEAK_BYTES_PER_S)
    late.may_have_missed_grants = lambda: True
    for _ in range(200):
        assert late._candidacy_delay_s() >= known._candidacy_delay_s()
