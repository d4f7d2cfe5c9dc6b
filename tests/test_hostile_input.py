"""Fuzz tests: random and mutated input for all decoders of external data."""

import json

import pytest
from hypothesis import given, settings, strategies as st

from jacinthpath.change_values import DamagedValue, decode_value
from jacinthpath.configuration import parse_configuration
from jacinthpath.errors import ConfigurationError, FrameError
from jacinthpath.grant_messages import decode_answer, decode_grant
from jacinthpath.metrics import Metrics
from jacinthpath.record_roster import decode_roster
from jacinthpath.routing import RoutingState
from jacinthpath.slices import SliceTable, decode_table, encode_table

DETERMINISTIC = settings(derandomize=True, deadline=None, max_examples=300)

TABLE = SliceTable(
    "stock", 3, 1 << 32, ("s1", "", "s2"), {7: "s1"}, {"s1": "127.0.0.1:1"}
)
ENCODED_TABLE = encode_table(TABLE)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=12), children, max_size=6)
    ),
    max_leaves=12,
)
GRANT_FIELDS = (
    "service",
    "epoch",
    "sequence",
    "incarnation",
    "echoed_stamp_ms",
    "term_ms",
    "slices",
    "hot_keys",
    "slice_count",
    "stamp_ms",
    "accepted",
    "held",
)
documents = json_values | st.dictionaries(st.sampled_from(GRANT_FIELDS), json_values)


def test_table_round_trips_through_its_encoding():
    assert decode_table(ENCODED_TABLE) == TABLE


@st.composite
def mutated_tables(draw):
    content = bytearray(ENCODED_TABLE)
    for _ in range(draw(st.integers(1, 4))):
        content[draw(st.integers(0, len(content) - 1))] = draw(st.integers(0, 255))
    return bytes(content[: draw(st.integers(0, len(content)))])


@DETERMINISTIC
@given(st.binary(max_size=300) | mutated_tables())
def test_table_decoder_raises_only_typed_errors(content):
    """Guards against a malformed table that terminates an entry process."""
    try:
        table = decode_table(content)
    except FrameError:
        return
    assert isinstance(table.owner_of(0), str)


@DETERMINISTIC
@given(documents)
@pytest.mark.parametrize("decode", [decode_grant, decode_answer])
def test_grant_decoders_raise_only_typed_errors(decode, document):
    """Guards servers and coordinators against malformed grant messages."""
    try:
        decode(document)
    except FrameError:
        return


@DETERMINISTIC
@given(st.binary(max_size=200) | json_values.map(lambda v: json.dumps(v).encode()))
def test_stored_values_raise_only_typed_errors(content):
    """Guards against a partially written or malformed value in the store."""
    for decode, error in ((decode_value, DamagedValue), (decode_roster, FrameError)):
        arguments = ("key", content) if decode is decode_value else (content,)
        try:
            decode(*arguments)
        except error:
            continue


@DETERMINISTIC
@given(st.text(max_size=200))
def test_configuration_parser_raises_only_typed_errors(text):
    try:
        parse_configuration(text)
    except ConfigurationError:
        return


@DETERMINISTIC
@given(
    st.sampled_from(["configuration", "table/stock", "table/other", "unknown"]),
    st.integers(0, 2**64 - 1),
    st.binary(max_size=100) | st.just(ENCODED_TABLE),
)
def test_bad_topic_keeps_the_last_good_one(name, version, content):
    """Guards against an unreadable topic that clears the one in force."""
    routing = RoutingState(Metrics())
    routing.apply_topic("table/stock", TABLE.version, ENCODED_TABLE)
    routing.apply_topic(name, version, content)
    assert routing.tables["stock"] == TABLE
