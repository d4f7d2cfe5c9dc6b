from jacinthpath.staleness import StalenessTracker


def run_checks(tracker, start_s, end_s):
    now_s = start_s
    while now_s <= end_s:
        tracker.check_for_freeze(now_s)
        now_s += 0.25


def test_unconfirmed_configuration_may_be_stale():
    assert StalenessTracker().may_be_stale(5.0, 100.0)


def test_confirmation_counts_from_its_age():
    tracker = StalenessTracker()
    tracker.add_report(2.0, False, 100.0)
    assert not tracker.may_be_stale(5.0, 102.9)
    assert tracker.may_be_stale(5.0, 103.1)


def test_confirmed_outage_keeps_the_configuration_current_only_while_reported():
    """Guards against a host that is cut off after a report of an outage."""
    tracker = StalenessTracker()
    tracker.add_report(60.0, True, 100.0)
    assert not tracker.may_be_stale(5.0, 104.0)
    assert tracker.may_be_stale(5.0, 106.0)


def test_report_that_waited_through_a_freeze_confirms_nothing():
    """Guards against a frozen process that resumes and reads an old report."""
    tracker = StalenessTracker()
    run_checks(tracker, 100.0, 101.0)
    tracker.add_report(0.0, True, 160.0)
    assert tracker.may_be_stale(5.0, 160.0)
    run_checks(tracker, 160.0, 161.0)
    tracker.add_report(0.0, False, 161.0)
    assert not tracker.may_be_stale(5.0, 161.0)
