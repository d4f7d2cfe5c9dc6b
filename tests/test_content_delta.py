"""Deltas of the operator's configuration: a host ends with the very same bytes."""

import pytest
from hypothesis import given, strategies as st

from jacinthpath.errors import JacinthpathError
from jacinthpath.gateway.content_delta import (
    MAX_KEPT_VERSIONS,
    ContentHistory,
    Part,
    apply_parts,
    content_digest,
    make_parts,
)
from standins.platform_documents import configuration, route

contents = st.lists(st.sampled_from([b"a]", b"b]", b"]", b"c", b"\xff]"])).map(b"".join)


@given(contents, contents)
def test_delta_makes_the_newer_version(older, newer):
    """Hosts with different bytes of one version would ask each other without end."""
    parts = make_parts(older, newer)
    assert apply_parts(older, parts, content_digest(newer)) == newer


def test_delta_of_one_route_is_small():
    """1,521 routes for 68 hosts were 65 Mbit from one link, for one that changed."""
    routes = [route(f"r{number}", f"/p{number}/", "plain") for number in range(1_500)]
    older = configuration(3, routes)
    routes[700] = route("r700", "/moved/", "keys")
    del routes[900]
    newer = configuration(4, [*routes, route("added", "/added/", "plain")])
    assert sum(len(part.new) + 16 for part in make_parts(older, newer)) < 1_000


@pytest.mark.parametrize("base", [b"", b"a]", b"x" * 100])
def test_delta_for_another_version_is_refused(base):
    newer = b"a]b]c]d]"
    parts = make_parts(b"b]c]a]", newer)
    with pytest.raises(JacinthpathError, match="whole document"):
        apply_parts(base, parts, content_digest(newer))


def test_delta_beyond_the_version_is_refused():
    with pytest.raises(JacinthpathError):
        apply_parts(b"abc", [Part(2, 2**31)], content_digest(b"abc"))


def test_only_the_newest_versions_are_kept():
    history = ContentHistory()
    versions = [b"%d]" % number for number in range(MAX_KEPT_VERSIONS + 1)]
    for content in versions:
        history.add(content_digest(content), content)
    assert history.parts_since(content_digest(versions[0])) is None
    parts = history.parts_since(content_digest(versions[1]))
    newest = versions[-1]
    assert apply_parts(versions[1], parts, content_digest(newest)) == newest
