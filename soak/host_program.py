"""Runs a program whose connections to servers lead through proxies of its host.

Usage: ``host_program.py PATHS PROGRAM``. PATHS is a file with a JSON object from the
address of each server to that of the proxy, both ``IP:port``.
"""

from __future__ import annotations

import json
import runpy
import socket
import sys
from pathlib import Path
from typing import Any


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _redirect(paths: dict[tuple[str, int], tuple[str, int]]) -> None:
    connect = socket.socket.connect

    def connect_by_own_path(self: socket.socket, address: Any) -> None:
        connect(self, paths.get(address[:2], address))

    socket.socket.connect = connect_by_own_path


if __name__ == "__main__":
    _, paths_file, program = sys.argv
    content = json.loads(Path(paths_file).read_text())
    _redirect({_split(server): _split(proxy) for server, proxy in content.items()})
    sys.argv = [program]
    sys.path[0] = str(Path(program).parent)
    runpy.run_path(program, run_name="__main__")
