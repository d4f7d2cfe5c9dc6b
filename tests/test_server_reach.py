"""What a host concludes from its attempts about its path to the servers."""

import pytest

from jacinthpath.gateway.server_reach import Reach, ServerReach

NOW_S = 100.0


@pytest.fixture
def reach():
    reach = ServerReach()
    reach.set_known(servers=8, services=2)
    return reach


def test_three_servers_that_fail_in_a_row_are_a_lost_path(reach):
    for number in range(3):
        assert not reach.is_cut_off(NOW_S)
        reach.record_failure(f"s{number}", f"service{number % 2}", NOW_S)
    assert reach.is_cut_off(NOW_S)


def test_one_failed_server_is_no_lost_path(reach):
    """Guards against a host that takes the crash of one server for its own fault."""
    for _ in range(20):
        reach.record_failure("s1", "a", NOW_S)
    assert reach.state(NOW_S) is Reach.UNKNOWN


def test_failure_of_a_whole_service_is_no_lost_path(reach):
    """Guards against a leader that steps aside, and requests that are relayed, because
    all servers of one service have crashed (soak seed 33017)."""
    for number in range(6):
        reach.record_failure(f"s{number}", "a", NOW_S)
    assert not reach.is_cut_off(NOW_S)
    reach.record_failure("s7", "b", NOW_S)
    assert reach.is_cut_off(NOW_S)


def test_response_of_any_server_is_a_path(reach):
    """Guards against a host that takes crashes of a whole service for its own fault."""
    reach.record_failure("s1", "a", NOW_S)
    reach.record_failure("s2", "b", NOW_S)
    reach.record_response(NOW_S)
    reach.record_failure("s3", "a", NOW_S)
    assert reach.state(NOW_S) is Reach.REACHED
    for number in range(3):
        reach.record_failure(f"s{number}", f"service{number % 2}", NOW_S)
    reach.record_response(NOW_S)
    assert not reach.is_cut_off(NOW_S)


def test_of_two_servers_both_have_to_fail(reach):
    reach.set_known(servers=2, services=2)
    reach.record_failure("s1", "a", NOW_S)
    assert not reach.is_cut_off(NOW_S)
    reach.record_failure("s2", "b", NOW_S)
    assert reach.is_cut_off(NOW_S)


def test_silence_counts_from_the_oldest_attempt_or_the_last_response(reach):
    """Guards against connections that stay open and lose everything sent on them."""
    token = reach.record_sent(NOW_S)
    assert reach.silence_s(NOW_S + 0.5) == 0.5
    reach.record_response(NOW_S + 0.4)
    assert reach.silence_s(NOW_S + 0.5) == pytest.approx(0.1)
    reach.record_ended(token)
    assert reach.silence_s(NOW_S + 9.0) == 0.0
