import asyncio

import pytest
from aiohttp import web

from bench.fleet import Fleet, ServiceSpec
from jacinthpath.tracing import Tracer, parse_traceparent

TRACEPARENT = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"


@pytest.mark.parametrize(
    "value",
    [
        None,
        "",
        "00-short",
        TRACEPARENT.replace("4bf9", "xyz!"),
        TRACEPARENT[:-3],
        "-" * 60,
    ],
)
def test_malformed_traceparent_is_ignored(value):
    assert parse_traceparent(value) is None


def test_unsampled_request_creates_no_span():
    tracer = Tracer("entry")
    context = tracer.extract(TRACEPARENT[:-2] + "00")
    assert tracer.start("entry", context) is None
    assert context.header() == TRACEPARENT[:-2] + "00"


async def test_sampled_request_exports_a_span_for_each_hop(tmp_path):
    """Guards the export of spans to a trace collector, simulated by an OTLP server."""
    received = []
    spans_received = asyncio.Event()

    async def collect(request):
        received.append(await request.read())
        spans_received.set()
        return web.Response()

    runner = web.ServerRunner(web.Server(collect))
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    port = runner.addresses[0][1]
    async with Fleet(tmp_path, [ServiceSpec("glyph", servers=1)], hosts=1) as fleet:
        await fleet.wait_until_ready()
        await fleet.entries[0].kill()
        entry = await fleet.start_entry(
            0, f'otlp_url = "http://127.0.0.1:{port}/v1/traces"\n'
        )
        status, _, _ = await fleet.request(
            "glyph", entry=entry, headers={"traceparent": TRACEPARENT}
        )
        while status == 503:
            status, _, _ = await fleet.request(
                "glyph", entry=entry, headers={"traceparent": TRACEPARENT}
            )
        await entry.terminate()
        async with asyncio.timeout(10):
            await spans_received.wait()
    await runner.cleanup()
    content = b"".join(received)
    for name in (b"entry", b"owner", b"attempt"):
        assert name in content
    assert bytes.fromhex("4bf92f3577b34da6a3ce929d0e0e4736") in content
