"""Responses of the platform's store that are malformed."""

import base64
import json

import pytest
from aiohttp import web
from hypothesis import given, settings, strategies as st

from jacinthpath.errors import JacinthpathError, StoreError, StoreOutcomeUnknown
from jacinthpath.gateway.store import HistoryLost, Write
from jacinthpath.platform import PlatformStore
from jacinthpath.platform.long_strings import LongStringDropper
from jacinthpath.platform.store_responses import check_response

GOOD = {"key": "servers/a", "value": base64.b64encode(b"x").decode(), "revision": 5}
BAD_ITEMS = [
    {"key": "servers/b", "value": "%", "revision": 5},
    {"key": "servers/b", "value": 5, "revision": 5},
    {"key": 5, "value": "", "revision": 5},
    {"key": "servers/b", "value": "", "revision": "5"},
    {"key": "servers/b", "value": "", "revision": 2**80},
    {"value": ""},
]
BAD_BODIES = [b"[", b"[" * 5_000, b"[]", b'"x"', b"{}", b'{"items": 5}', b"\xff"]


@pytest.fixture
async def store():
    """A client of a store whose next response is ``respond``'s ``body``."""
    answer = {}

    async def respond(_request):
        return web.Response(status=answer.get("status", 200), body=answer["body"])

    runner = web.ServerRunner(web.Server(respond, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    client = PlatformStore("{}:{}".format(*runner.addresses[0][:2]))
    await client.start()
    client.answer = answer
    yield client
    await client.close()
    await runner.cleanup()


@pytest.mark.parametrize("bad", BAD_ITEMS)
async def test_item_that_cannot_be_read_costs_no_other(store, bad):
    """One such item made every listing of the servers fail."""
    page = {"items": [bad, GOOD], "current_rev": 9, "has_more": False}
    store.answer["body"] = json.dumps(page).encode()
    listing = await store.list("servers/")
    assert [item.key for item in listing.items] == ["servers/a"]
    batch = {"events": [bad, GOOD], "current_rev": 9}
    store.answer["body"] = json.dumps(batch).encode()
    changes = (await store.watch("servers/", 5, 0.1)).changes
    assert [change.key for change in changes] == ["servers/a"]


@pytest.mark.parametrize("body", BAD_BODIES, ids=range(len(BAD_BODIES)))
async def test_malformed_response_is_an_error_of_the_store(store, body):
    """An undeclared error ended the loops of the watches and of the election."""
    store.answer["body"] = body
    for reading in (store.list("a"), store.watch("a", 5, 0.1), store.read("a")):
        with pytest.raises(StoreError):
            await reading
    for writing in (store.create_lease(1.0), store.write((), (Write("a", b""),))):
        with pytest.raises(StoreOutcomeUnknown):
            await writing
    store.answer["status"] = 412
    with pytest.raises(StoreError):
        await store.write((), (Write("a", b""),))


LARGE = base64.b64encode(bytes(1024 * 1024)).decode()


async def test_changes_that_are_too_long_are_listed_again(store):
    """Large values of another writer made the same watch fail again and again."""
    events = [{**GOOD, "value": LARGE} for _ in range(8)]
    store.answer["body"] = json.dumps({"events": events, "current_rev": 9}).encode()
    with pytest.raises(HistoryLost):
        await store.watch("jacinthpath/", 5, 0.1)
    with pytest.raises(StoreOutcomeUnknown):
        await store.write((), (Write("a", b""),))


async def test_large_entries_cost_no_other(store):
    """Together they exceeded the bound of a response, so no entry was listed at all."""
    large = [{**GOOD, "key": f"servers/{n}", "value": LARGE} for n in range(20)]
    page = {"items": [*large, GOOD, *large], "current_rev": 9, "has_more": False}
    store.answer["body"] = json.dumps(page).encode()
    listing = await store.list("servers/")
    assert [item.key for item in listing.items] == ["servers/a"]
    batch = {"events": [*large, GOOD, *large], "current_rev": 9}
    store.answer["body"] = json.dumps(batch).encode()
    changes = (await store.watch("servers/", 5, 0.1)).changes
    assert [change.key for change in changes] == ["servers/a"]


@settings(derandomize=True, deadline=None)
@given(
    st.recursive(
        st.text() | st.integers() | st.text(alphabet='\\"ab', min_size=8),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ),
    st.integers(1, 9),
    st.booleans(),
)
def test_documents_without_long_strings_are_kept(value, size, ascii_only):
    document = json.dumps(value, ensure_ascii=ascii_only).encode()
    dropper = LongStringDropper(len(document))
    parts = [document[at : at + size] for at in range(0, len(document), size)]
    assert b"".join(map(dropper.feed, parts)) == document
    short = LongStringDropper(10)
    json.loads(b"".join(map(short.feed, parts)))


@pytest.mark.parametrize("era", ["9" * 5_000, "²", "-1", "", "1.5"])
async def test_malformed_era_is_taken_for_the_current_one(store, era):
    assert store._read_era(era) == 0
    assert store.malformed_eras == 1


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=60), st.integers(100, 599))
def test_arbitrary_response_raises_only_declared_errors(content, status):
    try:
        check_response("GET", "kv-range", status, content, 0)
    except JacinthpathError:
        pass
