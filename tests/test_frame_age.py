"""How old a frame is whose sender has another clock."""

import pytest

from jacinthpath.frame_age import FrameAge

APART_S = -5_000.0


@pytest.mark.parametrize("late_at", [0, 1, 2])
def test_late_frame_is_told_from_prompt_ones(late_at):
    """Guards against a baseline that the first, late frame of a connection sets."""
    ages = FrameAge()
    waits_s = [0.001, 0.002, 0.001, 0.7]
    waits_s[late_at] = 1.0
    found = [
        ages.record(int(1000 * (second + 1)), second + 1 + APART_S + wait_s)
        for second, wait_s in enumerate(waits_s)
    ]
    assert found[3] == pytest.approx(0.7, abs=0.01)


def test_frame_without_a_stamp_has_no_age():
    assert FrameAge().record(0, 10.0) is None


def test_clock_that_runs_faster_makes_no_frame_late():
    ages = FrameAge()
    ages.record(1_000, 1.0)
    found = [ages.record(1_000 + 1_000 * n, 1.0 + 1.0005 * n) for n in range(1, 600)]
    assert max(found) < 0.01
