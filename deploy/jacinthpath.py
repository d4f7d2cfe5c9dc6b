"""Starts a gateway from the repository, where the package is not installed.

After a power failure all hosts start at the same time while callers wait, so this
script loads only what a gateway uses.
"""

import os
import signal
import sys
from pathlib import Path

# SIGHUP asks for the settings to be read again. They are first read further below, so
# it can be ignored until then; its default action would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent

# The package folder itself must not be on the path: its ``platform`` package would
# shadow the standard library's module.
sys.path[0] = str(ROOT / "src")

# aiohttp loads the system's CA certificates on import, which takes a fifth of the
# startup time. The platform uses plain HTTP, so none are needed.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull

from jacinthpath.daemon import run_daemon  # noqa: E402
from jacinthpath.errors import JacinthpathError  # noqa: E402
from jacinthpath.gateway_composition import build_gateway  # noqa: E402
from jacinthpath.platform.settings import SETTINGS_VARIABLE  # noqa: E402

try:
    sys.exit(run_daemon(build_gateway(os.environ.get(SETTINGS_VARIABLE, ""))))
except JacinthpathError as error:
    print(f"Error: {error}", file=sys.stderr)
    sys.exit(error.exit_code)
