import json

import pytest
from hypothesis import given, settings, strategies as st

from jacinthpath.errors import FrameError
from jacinthpath.grant_messages import (
    decode_answer,
    decode_grant,
    encode_answer,
    encode_grant,
)
from jacinthpath.grants import Grant, GrantHolder, TermTracker

KEY = 1 << 63  # In slice 2 of 4.


def make_grant(sequence, stamp_ms, slices=(2,), epoch=1, term_ms=400, **fields):
    fields = {"incarnation": "a", "slice_count": 4, **fields}
    return Grant(
        "preview",
        epoch=epoch,
        sequence=sequence,
        echoed_stamp_ms=stamp_ms,
        term_ms=term_ms,
        slices=slices,
        **fields,
    )


def test_renewals_buffered_during_a_freeze_grant_nothing():
    """Guards against terms that are counted from the arrival of a renewal.

    Renewals that wait in the socket buffer of a suspended process would then extend
    its ownership when it resumes.
    """
    holder = GrantHolder("preview", "a")
    assert holder.receive(make_grant(1, 1000), 1000).accepted
    assert holder.owns(KEY, 1399)
    for sequence in (2, 3, 4):
        holder.receive(make_grant(sequence, 1000 + sequence, slices=None), 5000)
    assert not holder.owns(KEY, 5000)
    holder.receive(make_grant(5, 5000, slices=None), 5001)
    assert holder.owns(KEY, 5399)


@pytest.mark.parametrize(
    ("refused", "reason"),
    [
        (make_grant(6, 1000, epoch=1), "stale-epoch"),
        (make_grant(5, 1000, epoch=2), "stale-sequence"),
        (make_grant(6, 1000, epoch=2, incarnation="b"), "other-incarnation"),
        (make_grant(6, 1000, epoch=2, incarnation=""), "other-incarnation"),
        (make_grant(6, 2000, epoch=2), "stamp-in-future"),
        (make_grant(1, 1000, epoch=3, slices=None), "nothing-to-renew"),
        (make_grant(6, 1000, epoch=2)._replace(service="glyph"), "other-service"),
    ],
)
def test_stale_or_misdirected_grant_is_refused(refused, reason):
    """Guards against a delayed, duplicate or misdirected grant changing ownership."""
    holder = GrantHolder("preview", "a")
    holder.receive(make_grant(5, 1000, epoch=2, slices=(1,)), 1000)
    answer = holder.receive(refused, 1001)
    assert (answer.accepted, answer.reason) == (False, reason)
    assert holder.owned_slices(1001) == {1}


def test_inquiry_fences_the_predecessor_and_keeps_the_holdings():
    """Guards against a gap in ownership when a successor takes over the role."""
    holder = GrantHolder("preview", "a")
    holder.receive(make_grant(5, 1000), 1000)
    inquiry = make_grant(1, 0, epoch=2, slices=None, term_ms=0, incarnation="")
    answer = holder.receive(inquiry, 1100)
    assert (answer.held, answer.held_epoch, answer.term_left_ms) == ((2,), 1, 300)
    assert holder.receive(make_grant(6, 1100), 1101).reason == "stale-epoch"
    assert holder.owns(KEY, 1399)


def test_hot_key_overrides_its_slice():
    """Guards against a server that serves a hot key which has moved away."""
    holder = GrantHolder("preview", "a")
    holder.receive(make_grant(1, 0, hot_keys={KEY: False, 7: True}), 0)
    assert not holder.owns(KEY, 1)
    assert holder.owns(KEY + 1, 1)
    assert holder.owns(7, 1)


@given(
    transit_ms=st.integers(0, 3000),
    drift=st.floats(-0.0045, 0.0045),
    authority_s=st.floats(0.0, 1.0),
)
@settings(derandomize=True, deadline=None, max_examples=200)
def test_upper_bound_covers_the_term_and_stays_within_the_authority(
    transit_ms, drift, authority_s
):
    """Guards against moving a slice while the term of its owner still runs."""
    tracker = TermTracker()
    arrival = 10.0 + transit_ms / 1000
    tracker.record_stamp("s", "a", 5000, arrival)
    stamp, term_ms = tracker.next_term("s", arrival + authority_s)
    tracker.record_grant("s", term_ms)
    true_end = 10.0 + (term_ms / 1000) / (1 + drift)
    assert stamp == 5000
    assert tracker.latest_end("s") >= true_end
    if term_ms:
        assert tracker.latest_end("s") <= arrival + authority_s + 1e-9


def test_terms_of_an_earlier_process_count_until_they_end():
    """Guards against granting to a restarted server while its suspended earlier
    process may resume and still serve the same keys."""
    tracker = TermTracker()
    tracker.record_stamp("s", "a", 100, 1.0)
    tracker.record_grant("s", 400)
    tracker.record_stamp("s", "b", 7, 1.1)
    assert not tracker.has_lapsed("s", 1.3, excluding="b")
    assert tracker.has_lapsed("s", 1.5, excluding="b")


def test_grants_and_answers_survive_a_json_round_trip():
    """Guards against fields lost in JSON, such as integers above 53 bits."""
    sent = make_grant(3, 1000, hot_keys={2**64 - 1: True})
    assert decode_grant(json.loads(json.dumps(encode_grant(sent)))) == sent
    renewal = make_grant(4, 1000, slices=None)
    assert decode_grant(json.loads(json.dumps(encode_grant(renewal)))) == renewal
    inquiry = make_grant(4, 0, slices=None, term_ms=0)
    answer = GrantHolder("preview", "a").receive(inquiry, 5)
    assert decode_answer(json.loads(json.dumps(encode_answer(answer)))) == answer


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slices", [4]),
        ("slices", [True]),
        ("slices", [0] * 5),
        ("slices", "all"),
        ("slice_count", 0),
        ("term_ms", 10_001),
        ("epoch", -1),
        ("epoch", 1.5),
        ("service", "x" * 201),
        ("hot_keys", {"7": True}),
        ("hot_keys", {"zzzzzzzzzzzzzzzz": True}),
        ("incarnation", None),
    ],
)
def test_document_out_of_bounds_is_refused(field, value):
    """Guards against a malicious document that raises an unhandled exception."""
    document = {**encode_grant(make_grant(1, 0)), field: value}
    with pytest.raises(FrameError):
        decode_grant(document)
    with pytest.raises(FrameError):
        decode_grant([])
