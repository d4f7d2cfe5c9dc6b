"""Requests of callers to real processes on loopback, end to end."""

import asyncio
import hashlib
import json
import re

import aiohttp
import pytest
import pytest_asyncio

from bench.fleet import Fleet, ServiceSpec

pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def fleet(tmp_path_factory):
    services = [
        ServiceSpec("preview", keyed=True, fields=('priority = "first"',)),
        ServiceSpec("publish", fields=("idempotent = false",)),
        ServiceSpec("glyph", fields=('priority = "deferrable"', "defer_limit_s = 5.0")),
    ]
    directory = tmp_path_factory.mktemp("fleet")
    async with Fleet(directory, services, hosts=2) as fleet:
        await fleet.wait_until_ready()
        yield fleet


def comparable_response(status, headers, body):
    """Return a response without the parts that differ between runs."""
    kept_headers = {
        name: value
        for name, value in headers.items()
        if name.lower() not in {"date", "server", "content-length"}
    }
    text = body.decode().strip()
    text = re.sub(r'"server": "(\w+)-\d+"', r'"server": "\1-N"', text)
    text = re.sub(r'"run": \d+', '"run": N', text)
    return {"status": status, "headers": kept_headers, "body": text}


SESSIONS = {
    "first": {"service": "preview", "key": "layout-7"},
    "non-idempotent": {
        "service": "publish",
        "method": "POST",
        "data": b"firmware",
    },
    "deferrable": {"service": "glyph", "path": "/alphabet?ms=2"},
    "unknown-service": {"service": "stock"},
    "key-missing": {"service": "preview"},
    "endpoint-ends-before-answer": {"service": "publish", "path": "/a?end=silent"},
    "endpoint-ends-mid-answer": {"service": "publish", "path": "/a?end=half"},
    "answer-without-end": {"service": "publish", "path": "/a?end=undelimited"},
    "deadline-malformed": {
        "service": "publish",
        "headers": {"jacinthpath-deadline-ms": "soon"},
    },
    "deadline-exceeded": {
        "service": "publish",
        "path": "/a?ms=2000",
        "headers": {"jacinthpath-deadline-ms": "100"},
    },
    "account-unknown": {
        "service": "publish",
        "headers": {"jacinthpath-account": "nobody"},
    },
    "field-too-long": {
        "service": "preview",
        "headers": {"jacinthpath-key": "k" * 600},
    },
}


@pytest.mark.parametrize("name", SESSIONS)
async def test_session(fleet, snapshot, name):
    """Guards against a changed status, header field or error body for callers."""
    session = dict(SESSIONS[name])
    response = await fleet.request(session.pop("service"), **session)
    assert comparable_response(*response) == snapshot


async def test_truncated_long_response_is_detected_by_the_caller(fleet):
    """Guards against a partial response that looks complete to the caller."""
    with pytest.raises(aiohttp.ClientPayloadError):
        await fleet.request("publish", "/a?size=400000&end=half")


async def test_long_bodies_are_streamed_unchanged_in_both_directions(fleet):
    body = bytes(range(256)) * 16_384
    status, _, response = await fleet.request(
        "publish", "/a?size=3000000", method="POST", data=body
    )
    assert status == 200
    assert len(response) == 3_000_000
    content = json.loads(response)
    assert content["body_sha256"] == hashlib.sha256(body).hexdigest()


async def test_callers_get_their_own_responses_out_of_order(fleet):
    """Guards against a response that is sent to another caller."""

    async def send_numbered(number):
        body = f"request-{number}".encode()
        delay_ms = (number * 37) % 50
        status, _, response = await fleet.request(
            "publish",
            f"/order-{number}?ms={delay_ms}",
            entry=number % 2,
            method="POST",
            data=body,
        )
        if status == 200:
            content = json.loads(response)
            assert content["path"] == f"/order-{number}"
            assert content["body_sha256"] == hashlib.sha256(body).hexdigest()
        return status

    statuses = await asyncio.gather(*(send_numbered(number) for number in range(60)))
    assert statuses.count(200) >= 30


async def test_malformed_http_is_refused_and_the_process_keeps_serving(fleet):
    address = fleet.entries[0].addresses["callers_address"]
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"not http at all\r\n\r\n")
    assert b" 400 " in (await reader.readline())
    writer.close()
    status, _, _ = await fleet.request("publish", "/after")
    assert status == 200


async def test_oversized_header_is_refused(fleet):
    status, _, _ = await fleet.request(
        "publish", "/a", headers={"jacinthpath-note": "n" * 20_000}
    )
    assert status == 400


async def test_truncated_request_body_reaches_no_endpoint(fleet):
    before = await sum_server_counts(fleet, "publish", "runs")
    address = fleet.entries[0].addresses["callers_address"]
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /publish/a HTTP/1.1\r\nHost: r\r\njacinthpath-account: school\r\n"
        b"Content-Length: 100\r\n\r\npart"
    )
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    status, _, _ = await fleet.request("publish", "/after")
    assert status == 200
    assert await sum_server_counts(fleet, "publish", "runs") == before + 1


async def test_disconnected_caller_is_counted_and_its_attempt_cancelled(fleet):
    """Guards against work that continues after its caller has disconnected, and
    against requests that stay counted as in flight."""
    entry = fleet.entries[0]
    before = await sum_server_counts(fleet, "preview", "cancelled")
    runs = await sum_server_counts(fleet, "preview", "runs")
    pending = asyncio.create_task(
        fleet.request("preview", "/slow?ms=3000", key="left-alone", entry=entry)
    )
    async with asyncio.timeout(10):
        while (
            await sum_server_counts(fleet, "preview", "runs") == runs
            and not pending.done()
        ):
            await asyncio.sleep(0.01)
        pending.cancel()
        while await sum_server_counts(fleet, "preview", "cancelled") == before:
            await asyncio.sleep(0.01)
    url = f"http://{entry.addresses['admin_address']}/metrics"
    async with fleet.session.get(url) as response:
        page = await response.text()
    assert 'requests_total{outcome="caller-left",service="preview"} 1' in page
    assert "requests_in_flight 0" in page


async def sum_server_counts(fleet, service, count):
    stats = [await fleet.server_stats(f"{service}-{index}") for index in range(3)]
    return sum(entry["counts"][count] for entry in stats)
