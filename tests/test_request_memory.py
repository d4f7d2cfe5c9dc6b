"""What a host holds of the bodies of requests."""

import asyncio
import gc

import pytest

from jacinthpath.platform.uploads import UploadReader

from .gateway_system import GatewaySystem


@pytest.fixture
async def system(tmp_path):
    system = await GatewaySystem(tmp_path).start()
    await system.wait_until_ready()
    yield system
    await system.close()


@pytest.mark.parametrize("fault", ["", "overloaded", "no-response", "truncated"])
@pytest.mark.parametrize("path", ["/read/x", "/order/x", "/keyed/x"])
async def test_body_is_freed_with_its_request(system, monkeypatch, path, fault):
    """Guards against bodies that stay in memory, uncounted, until a garbage collection
    of the oldest generation, or as long as a connection to a server (review/6)."""
    freed = []

    class Body(bytes):
        def __del__(self):
            freed.append(True)

    read_parts = UploadReader._read_parts

    async def read_traced(*args):
        return Body(await read_parts(*args))

    monkeypatch.setattr(UploadReader, "_read_parts", read_traced)
    for server in system.servers.values():
        server.fault = fault
    gc.collect()
    gc.disable()
    try:
        await system.send(path, "n1", method="POST", data=b"body", key=7)
        async with asyncio.timeout(1.0):
            while not freed:
                await asyncio.sleep(0.01)
    finally:
        gc.enable()
