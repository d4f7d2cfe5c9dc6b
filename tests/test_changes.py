"""Tests changes of the configuration: races, lost responses, outages, history."""

import asyncio
import json
import random

import pytest

from jacinthpath.change_history import VersionUnknown
from jacinthpath.change_values import (
    CONFIGURATION_KEY,
    ConfigurationValue,
    DamagedValue,
    decode_value,
    encode_fields,
    encode_topic_content,
    encode_value,
    history_key,
)
from jacinthpath.changes import ChangeConflict, ConfigurationClient
from jacinthpath.configuration_merge import merge_documents
from jacinthpath.errors import (
    ConfigurationError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    VersionConflict,
)
from jacinthpath.store import StoredValue

from .fake_store import FakeStore

TEMPLATE = """\
# Shared by all.
[templates.standard.services.preview]
deadline_ms = 2000
endpoints = [{ server = "p1", address = "10.0.0.1:80" }]
"""


def build_document(**deadlines_ms):
    accounts = [
        f'\n[accounts.{name}]\ntemplate = "standard"\n'
        f"services.preview.deadline_ms = {value}\n"
        for name, value in deadlines_ms.items()
    ]
    return TEMPLATE + "".join(accounts)


BASE = build_document(a=1, b=1)


def build_client(store):
    async def no_sleep(_seconds):
        await asyncio.sleep(0)

    return ConfigurationClient(store, lambda: 1_800_000_000, no_sleep, random.Random(1))


@pytest.fixture
async def store():
    store = FakeStore()
    await build_client(store).apply(BASE, "ana", 0)
    return store


class NaiveClient:
    """Overwrites the current value and retries a write whose response was lost.

    Tests run it as well, to show that they detect a change that is lost.
    """

    def __init__(self, store):
        self.store = store

    async def apply(self, content, author, parent):
        while True:
            stored = await self.store.get(CONFIGURATION_KEY)
            value = decode_value(CONFIGURATION_KEY, stored.data)
            entry = value.entry._replace(
                version=value.entry.version + 1, author=author, change_id=author
            )
            data = encode_value(ConfigurationValue(entry, content))
            try:
                await self.store.compare_and_swap(
                    CONFIGURATION_KEY, stored.version, data
                )
                return
            except (StoreOutcomeUnknown, VersionConflict):
                continue


async def apply_other_change(store, **deadlines_ms):
    current = await build_client(store).read()
    await build_client(store).apply(
        build_document(**deadlines_ms), "bea", current.entry.version
    )


@pytest.mark.parametrize("make_client", [build_client, NaiveClient])
async def test_retry_after_lost_response_does_not_revert_another_change(
    store, make_client
):
    """Guards against a retried write that reverts a change made in between."""
    store.lose_responses[CONFIGURATION_KEY] = ["written"]
    store.before_swap = [lambda: asyncio.sleep(0)]
    original_get, injected = store.get, []

    async def get_after_another_change(key):
        if store.version > 1 and not injected:
            injected.append(True)
            await apply_other_change(store, a=2, b=9)
        return await original_get(key)

    async def inject_on_next_get():
        store.get = get_after_another_change

    store.before_swap = [inject_on_next_get]
    await make_client(store).apply(build_document(a=2, b=1), "ana", 1)
    newest = await build_client(store).read()
    if make_client is NaiveClient:
        assert newest.content == build_document(a=2, b=1), "the other change is lost"
    else:
        assert newest.content == build_document(a=2, b=9)
        assert [entry.version for entry in newest.history] == [2, 1]


@pytest.mark.parametrize("make_client", [build_client, NaiveClient])
async def test_three_consecutive_races_lose_no_change(store, make_client):
    """Guards against overwriting changes to other accounts."""
    store.before_swap = [
        lambda: apply_other_change(store, a=1, b=2),
        lambda: asyncio.sleep(0),
        lambda: apply_other_change(store, a=1, b=3),
        lambda: asyncio.sleep(0),
        lambda: apply_other_change(store, a=1, b=4),
    ]
    result = await make_client(store).apply(build_document(a=7, b=1), "ana", 1)
    content = (await build_client(store).read()).content
    if make_client is NaiveClient:
        assert content == build_document(a=7, b=1), "the other changes are lost"
    else:
        assert content == build_document(a=7, b=4)
        assert (result.status, result.entry.version) == ("merged", 5)


async def test_conflict_error_names_authors_and_changes(store, snapshot):
    store.before_swap = [lambda: apply_other_change(store, a=5, b=1)]
    with pytest.raises(ChangeConflict) as caught:
        await build_client(store).apply(build_document(a=7, b=1), "ana", 1)
    assert str(caught.value) == snapshot
    assert (await build_client(store).read()).content == build_document(a=5, b=1)


async def test_merge_with_invalid_result_is_rejected(store):
    """Guards against a merge that removes a template used by a new account."""
    other = TEMPLATE.replace("standard", "other") + build_document(a=1, b=1)
    await build_client(store).apply(other, "ana", 1)
    user = other + '\n[accounts.c]\ntemplate = "other"\n'
    await build_client(store).apply(user, "bea", 2)
    with pytest.raises(ChangeConflict, match="does not exist"):
        await build_client(store).apply(build_document(a=1, b=1), "ana", 2)


@pytest.mark.parametrize("outcome", ["written", "not written", "written, then down"])
async def test_change_retried_with_the_same_id_is_applied_once(store, outcome):
    """Guards against applying a change twice after a restart."""
    store.lose_responses[CONFIGURATION_KEY] = [outcome]
    try:
        first = await build_client(store).apply(build_document(a=2, b=1), "ana", 1)
        assert first.status == "applied"
    except StoreOutcomeUnknown as error:
        assert outcome == "written, then down"
        assert "--change-id" in error.remedy
    store.down = False
    await apply_other_change(store, a=2, b=8)
    again = await build_client(store).apply(build_document(a=2, b=1), "ana", 1)
    assert (again.status, again.entry.version, again.newest) == (
        "already-applied",
        2,
        3,
    )
    assert (await build_client(store).read()).content == build_document(a=2, b=8)


async def test_outage_before_the_write_is_reported_as_not_written(store):
    store.down = True
    with pytest.raises(StoreUnavailable, match="Nothing was written"):
        await build_client(store).apply(build_document(a=2, b=1), "ana", 1)


async def test_lost_responses_of_the_history_write_are_resolved(store):
    store.lose_responses[history_key(1)] = ["written", "not written"]
    await build_client(store).apply(build_document(a=2, b=1), "ana", 1)
    assert (await build_client(store).read_version(1)).content == BASE


@pytest.mark.parametrize("stale_reads", [1, 2, 5])
async def test_stale_read_neither_reverts_nor_reapplies(store, stale_reads):
    """Guards against a lagging replica that does not show the last write."""
    await build_client(store).apply(build_document(a=2, b=1), "ana", 1)
    store.stale_reads = stale_reads
    result = await build_client(store).apply(build_document(a=2, b=3), "ana", 2, "c3")
    store.stale_reads = stale_reads
    again = await build_client(store).apply(build_document(a=2, b=3), "ana", 2, "c3")
    assert (result.entry.version, again.entry.version) == (3, 3)
    assert again.status == "already-applied"
    assert (await build_client(store).read()).content == build_document(a=2, b=3)


def corrupt(data, kind):
    if kind == "half":
        return data[: len(data) // 2]
    if kind == "altered":
        return data.replace(b"2000", b"9000")
    if kind == "nested":
        return b"[" * 100_000
    if kind == "types":
        return json.dumps({"version": "1", "checksum": ""}).encode()
    return b"x" * 1_000_001


@pytest.mark.parametrize("kind", ["half", "altered", "nested", "types", "huge"])
async def test_damaged_value_is_rejected_and_can_be_replaced(store, kind):
    """Guards against a truncated or hostile value that reaches hosts."""
    await build_client(store).apply(build_document(a=2, b=1), "ana", 1)
    stored = store.values[CONFIGURATION_KEY]
    store.values[CONFIGURATION_KEY] = StoredValue(
        stored.version, corrupt(stored.data, kind)
    )
    with pytest.raises(DamagedValue):
        await build_client(store).read()
    with pytest.raises(DamagedValue):
        await build_client(store).apply(build_document(a=3, b=1), "ana", 1)
    result = await build_client(store).apply(
        build_document(a=3, b=1), "ana", 1, replace_damaged=True
    )
    assert result.entry.version == 3, "above the version that hosts may have"
    assert (await build_client(store).read()).content == build_document(a=3, b=1)


async def test_content_for_hosts_keeps_a_field_of_a_newer_release(store):
    """Guards against two releases publishing different bytes for one version."""
    fields = json.loads(store.values[CONFIGURATION_KEY].data)
    del fields["checksum"]
    stored = encode_fields({**fields, "note": "newer"})
    published = encode_topic_content(stored)
    assert json.loads(published)["note"] == "newer"
    assert "history" not in json.loads(published)
    assert decode_value("topic", published).content == BASE


async def test_damaged_value_is_replaced_by_the_newest_kept_content(store):
    """Guards against treating archived content as content in force."""
    store.values[CONFIGURATION_KEY] = StoredValue(store.version, b"{")
    result = await build_client(store).apply(BASE, "ana", 0, replace_damaged=True)
    assert result.status == "applied"
    assert (await build_client(store).read()).content == BASE


async def test_history_keeps_fifty_versions(store):
    for number in range(2, 61):
        await build_client(store).apply(
            build_document(a=number, b=1), "ana", number - 1
        )
    newest = await build_client(store).read()
    assert len(newest.history) == 49
    assert (await build_client(store).read_version(10)).content == build_document(
        a=10, b=1
    )
    with pytest.raises(VersionUnknown):
        await build_client(store).read_version(9)
    with pytest.raises(VersionUnknown):
        await build_client(store).apply(build_document(a=1, b=1), "ana", 61)
    with pytest.raises(ChangeConflict, match="no longer kept"):
        await build_client(store).apply(build_document(a=1, b=5), "ana", 5)


async def test_document_at_the_size_limit_is_stored_with_its_history():
    store, line = FakeStore(), "# " + "x" * 97 + "\n"
    text = BASE + line * ((900_000 - len(BASE)) // len(line))
    await build_client(store).apply(text, "ana", 0)
    with pytest.raises(ConfigurationError, match="bytes"):
        await build_client(store).apply(text + line * 10, "ana", 1)


def test_merge_keeps_comments_and_handles_inline_accounts():
    mine = BASE.replace("# Shared by all.", "# Changed comment.")
    theirs = build_document(a=1, b=1, c=3)
    assert merge_documents(BASE, theirs, mine).text == theirs.replace(
        "# Shared by all.", "# Changed comment."
    )
    drained = BASE + "# Down for repair.\nservices.preview.priority = 'first'\n"
    both = merge_documents(BASE, drained, build_document(a=1, b=1, c=3))
    assert "# Down for repair." in both.text
    assert "[accounts.c]" in both.text
    inline = TEMPLATE + '[accounts]\na.template = "standard"\n'
    one = inline + 'b.template = "standard"\n'
    two = inline + 'c.template = "standard"\n'
    assert merge_documents(inline, one, two).conflicts == ("the whole document",)
