import pytest

from jacinthpath.codec import new_frame
from jacinthpath.errors import FrameError
from jacinthpath.peers import PeerIdentity
from jacinthpath.store import StoreCallResult
from jacinthpath.store_relay import StoreRelay


class RecordingStore:
    def __init__(self):
        self.calls = []

    async def send_call(self, method, path, body):
        self.calls.append((method, path, body))
        return StoreCallResult(200, b"{}", True)


class FakeConnection:
    def __init__(self, role):
        self.remote = PeerIdentity("host-1", "dc-1", role, "p")


async def relay_call(method, path, role="control"):
    store = RecordingStore()
    frame = new_frame()
    content = frame.body.init("relayStore")
    content.method, content.path = method, path
    handler = StoreRelay(store, None, list).handlers()["relayStore"]
    response = await handler(FakeConnection(role), frame)
    assert response.body.storeAnswer.status == 200
    return store.calls


async def test_key_value_call_is_relayed():
    assert await relay_call("GET", "/kv/table%2Fstock") == [
        ("GET", "/kv/table%2Fstock", b"")
    ]


@pytest.mark.parametrize(
    ("method", "path", "role"),
    [
        ("GET", "@127.0.0.1:9/kv/", "control"),
        ("GET", "/-/faults", "control"),
        ("TRACE", "/kv/a", "control"),
        ("GET", "/kv/a", "entry"),
    ],
)
async def test_other_calls_are_refused(method, path, role):
    """A peer must not make this process call arbitrary URLs in the store's network."""
    with pytest.raises(FrameError):
        await relay_call(method, path, role)
