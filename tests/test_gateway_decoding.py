"""Decoding of settings, configurations, server entries and assignments."""

import json

import pytest
from hypothesis import given, strategies as st

from jacinthpath.errors import JacinthpathError, SettingsError
from jacinthpath.gateway.assignment import (
    Assignment,
    OwnedRange,
    decode_assignment,
    encode_assignment,
)
from jacinthpath.gateway.route_index import RouteIndex
from jacinthpath.platform import (
    RouteTableDecoder,
    decode_backend,
    decode_route_table,
    load_settings,
)
from standins.platform_documents import SETTINGS, configuration, route

SETTINGS_FILE = SETTINGS.format(
    name="g", ip="10.0.0.1", peer_port=7, front_port=8, ready_port=9, store="10.0.0.2:1"
)


def write_settings(tmp_path, content):
    path = tmp_path / "local.toml"
    path.write_text(content)
    return str(path)


def test_settings_are_read_and_unknown_fields_are_ignored(tmp_path):
    settings = load_settings(
        write_settings(tmp_path, 'new_field = "x"\n' + SETTINGS_FILE)
    )
    assert settings.callers_address == "10.0.0.1:8"
    assert settings.timing.drain_s == 2.0
    assert settings.memory_bytes == 0
    assert settings.timing.max_hold_s == 10.0


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('front = "10.0.0.1:8"', "", "listen.front"),
        ('front = "10.0.0.1:8"', 'front = "nowhere"', "listen.front"),
        ('drain = "2000ms"', 'drain = "soon"', "bounds.drain"),
        ("internal_port_range = [7, 7]", "", "internal_port_range"),
        ('node_name = "g"', "node_name = 5", "node_name"),
        ("[bounds]", "[limits]\nlink_mbps = 0\n[bounds]", "limits.link_mbps"),
        ("[bounds]", "[limits]\nlink_mbps = nan\n[bounds]", "limits.link_mbps"),
        ("[bounds]", "[limits]\nmemory_mb = 0\n[bounds]", "limits.memory_mb"),
        ("[bounds]", '[limits]\nmemory_mb = "much"\n[bounds]', "limits.memory_mb"),
    ],
)
def test_invalid_value_raises_with_file_key_and_remedy(tmp_path, old, new, key):
    path = write_settings(tmp_path, SETTINGS_FILE.replace(old, new))
    with pytest.raises(SettingsError) as caught:
        load_settings(path)
    assert path in str(caught.value)
    assert key in str(caught.value)
    assert caught.value.remedy


@pytest.mark.parametrize("content", ["= broken", "\x00"])
def test_invalid_toml_is_refused(tmp_path, content):
    with pytest.raises(SettingsError):
        load_settings(write_settings(tmp_path, content))


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(str(tmp_path / "absent"))


def route_index(*routes):
    return RouteIndex(decode_route_table(configuration(3, [*routes])))


def test_longest_matching_prefix_of_the_host_is_used():
    index = route_index(route("a", "/a/", "plain"), route("b", "/a/b/", "keys"))
    assert index.find("h.example", "/a/b/c").name == "b"
    assert index.find("H.EXAMPLE:80", "/a/bc").name == "a"
    assert index.find("h.example", "/b/") is None
    assert index.find("other", "/a/") is None


SPLIT = [{"service": "plain", "weight": 1}, {"service": "keys", "weight": 3}]
ODD_PRIORITIES = [1, 1.0, True, "1"]


def versions_of_routes():
    """Return a strategy for versions that share rows, some of which are malformed."""
    rows = [route("a", "/a/", "plain"), route("b", "/b/", "", split=SPLIT)]
    for priority in ODD_PRIORITIES:
        row = route("c", "/c/", "keys")
        row[6] = priority
        rows.append(row)
    services = st.sampled_from([("plain", "keys"), ("plain",)])
    version = st.tuples(st.lists(st.sampled_from(rows)), services)
    return st.lists(version, max_size=5)


def decoded_or_refused(decode, content):
    try:
        return decode(content)
    except JacinthpathError as error:
        return str(error)


@given(versions_of_routes())
def test_version_is_decoded_alike_whatever_came_before(versions):
    """A row that was known must not make a host take what others refuse."""
    decoder = RouteTableDecoder()
    for rows, services in versions:
        content = configuration(3, rows, services=services)
        assert decoded_or_refused(decoder.decode, content) == decoded_or_refused(
            decode_route_table, content
        )


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_typed_errors(content):
    """A value in the store that cannot be decoded must not end the process."""
    for decode in (decode_route_table, decode_assignment):
        with pytest.raises(JacinthpathError):
            decode(content)
    with pytest.raises(JacinthpathError):
        decode_backend("s", content, 1)


SERVER_ENTRY = {
    "address": "10.0.0.1:80",
    "born": 5,
    "info": {"service": "s", "version": "v1", "zone": "a", "slots": 3},
    "status": {"state": "ready", "sequence": 1, "warmup_left": "20ms"},
}


@given(
    st.sampled_from(["address", "born", "info", "status"]),
    st.one_of(st.none(), st.integers(), st.text(max_size=5), st.lists(st.none())),
)
def test_server_entry_with_an_invalid_field_is_refused(field, value):
    if field == "born" and isinstance(value, int) and 0 <= value < 2**53:
        return
    with pytest.raises(JacinthpathError):
        decode_backend("s", json.dumps({**SERVER_ENTRY, field: value}).encode(), 1)


@pytest.mark.parametrize(
    "path",
    [
        "address",
        "born",
        "info.service",
        "info.version",
        "info.zone",
        "info.slots",
        "status.state",
        "status.sequence",
        "status.warmup_left",
    ],
)
def test_server_entry_without_a_field_or_with_another_type_is_refused(path):
    """Guards against requests to an address that only another writer has named."""
    for replacement in ({}, {"value": None}, {"value": {}}, {"value": True}):
        entry = json.loads(json.dumps(SERVER_ENTRY))
        *parents, name = path.split(".")
        part = entry[parents[0]] if parents else entry
        del part[name]
        if replacement:
            part[name] = replacement["value"]
        with pytest.raises(JacinthpathError):
            decode_backend("s", json.dumps(entry).encode(), 1)


def test_server_entry_is_decoded():
    backend = decode_backend("s", json.dumps(SERVER_ENTRY).encode(), 9)
    assert backend.address == "10.0.0.1:80"
    assert (backend.started_ms, backend.warmup_left_s, backend.draining) == (
        5,
        0.02,
        False,
    )


def test_assignment_round_trip():
    ranges = (
        OwnedRange(0, 5, "a", "10.0.0.1:1", 7, 3),
        OwnedRange(6, 65_535, "b", "10.0.0.2:1", 8, 4, "a"),
    )
    assignment = Assignment(4, {"s": ranges})
    assert decode_assignment(encode_assignment(assignment)) == assignment


def test_assignment_with_overlapping_ranges_is_refused():
    ranges = (OwnedRange(0, 9, "a", "", 1, 1), OwnedRange(5, 20, "b", "", 1, 1))
    with pytest.raises(JacinthpathError):
        decode_assignment(encode_assignment(Assignment(1, {"s": ranges})))
