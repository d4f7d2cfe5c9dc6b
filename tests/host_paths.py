"""The path of one host to the servers, which can be cut while others keep theirs."""

import socket

from soak.proxy import Proxy

CONNECTS_TO_FILL = 4
"""Connections that fill the accept queue of a listener that accepts none."""


class HostPath:
    """A proxy to each server, for one host alone.

    ``cut`` takes the modes of a proxy. New connections wait without a response with
    ``silent``, as when packets are lost on the way, and are refused with ``reset`` and
    ``refuse-new``.
    """

    def __init__(self):
        self._proxies = {}
        self._refusing_address = None
        self._unanswered = None
        self._fillers = []

    async def start(self, gateway, servers):
        """Lead the connections of a gateway that is not started through the proxies."""
        for server in servers:
            proxy = Proxy(server.address)
            await proxy.start()
            self._proxies[_split(server.address)] = proxy
        self._open_dead_ends()
        _store, commands, requests = gateway._clients
        for client in (commands, requests):
            client._open_socket = self._redirecting(client._open_socket)

    async def close(self):
        for proxy in self._proxies.values():
            await proxy.close()
        for one in (self._unanswered, *self._fillers):
            one.close()

    def cut(self, mode):
        for proxy in self._proxies.values():
            proxy.mode = mode
            if mode == "reset":
                proxy.reset()

    def restore(self):
        self.cut("pass")

    def _open_dead_ends(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            self._refusing_address = closed.getsockname()
        self._unanswered = socket.socket()
        self._unanswered.bind(("127.0.0.1", 0))
        self._unanswered.listen(0)
        for _ in range(CONNECTS_TO_FILL):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._unanswered.getsockname())
            self._fillers.append(filler)

    def _address(self, address):
        proxy = self._proxies.get(address[:2])
        if proxy is None:
            return address
        if proxy.mode == "silent":
            return self._unanswered.getsockname()
        if proxy.mode in ("reset", "refuse-new"):
            return self._refusing_address
        return _split(proxy.address)

    def _redirecting(self, open_socket):
        path = self

        class RedirectedSocket(socket.socket):
            def connect(self, address):
                return super().connect(path._address(address))

        def open_redirected(address):
            redirected = RedirectedSocket(fileno=open_socket(address).detach())
            redirected.setblocking(False)
            return redirected

        return open_redirected


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
