"""Requests and settings that are malformed: a clear error, and nothing else is lost."""

import asyncio

import pytest

from jacinthpath.errors import SettingsError
from jacinthpath.platform import load_settings

from .gateway_system import GatewaySystem
from .test_gateway_decoding import SETTINGS_FILE, write_settings

HEAD = b"GET /%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\n%s\r\n"
DEADLINE = b"X-Request-Deadline-Ms: %s\r\n"
KEY = b"X-Shard-Key: %s\r\n"

REQUESTS = [
    (HEAD % (b"read/a", b"a\xff", b""), 400),
    (HEAD % (b"read/a", b"a" * 4_000, b""), 200),
    (HEAD % (b"read/a", b"a", b"X-Other: \xff\xfe\r\n"), 200),
    (HEAD % (b"read/\xff", b"a", b""), 400),
    (HEAD % (b"read/a", b"a", DEADLINE % (b"9" * 18)), 200),
    (HEAD % (b"read/a", b"a", DEADLINE % (b"9" * 400)), 400),
    (HEAD % (b"read/a", b"a", DEADLINE % b"\xc2\xb2"), 400),
    (HEAD % (b"read/a", b"a", DEADLINE % b"-1"), 400),
    (HEAD % (b"keyed/a", b"a", KEY % (b"1" * 400)), 400),
    (HEAD % (b"keyed/a", b"a", KEY % b"65536"), 400),
]


async def test_malformed_request_gets_a_clear_error(tmp_path):
    """An attempt id that UTF-8 cannot encode got a 500 after the request had run."""
    system = await GatewaySystem(tmp_path).start()
    try:
        await system.wait_until_ready()
        host, _, port = system.gateways[0].settings.callers_address.rpartition(":")
        for request, expected in REQUESTS:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request)
            status_line = await reader.readline()
            writer.close()
            assert status_line.split(b" ")[1] == b"%d" % expected, request[:80]
    finally:
        await system.close()


async def test_attempt_that_fails_unexpectedly_is_counted_no_longer(tmp_path):
    """A server looked busy for good after an error that nothing foresaw."""
    system = await GatewaySystem(tmp_path).start()
    try:
        await system.wait_until_ready()
        dependencies = system.gateways[0]._forwarder._dependencies

        async def fail(*_args):
            raise RuntimeError("failed")

        dependencies.backend_client.send = fail
        await system.send("/read/a")
        backends = dependencies.view.directory.all().values()
        assert not any(map(dependencies.pool.in_flight, backends))
        del dependencies.backend_client.send
        assert (await system.send("/read/a"))[0] == 200
    finally:
        await system.close()


@pytest.mark.parametrize(
    "content",
    [
        "x = " + "[" * 5_000,
        SETTINGS_FILE.replace("seeds = []", "seeds = 5"),
        SETTINGS_FILE.replace("_range = [7, 7]", "_range = 7"),
    ],
    ids=range(3),
)
def test_malformed_settings_raise_the_declared_error(tmp_path, content):
    """Settings are read again at SIGHUP, where only this error is expected."""
    with pytest.raises(SettingsError):
        load_settings(write_settings(tmp_path, content))
