"""Starts a gateway from the repository, where the package is not installed.

After a loss of power all hosts start at the same time and callers wait for them, so
this start does without what a gateway never uses.
"""

import os
import signal
import sys
from pathlib import Path

# The settings are read later in this start, so there is nothing to read again; by
# default the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

ROOT = Path(__file__).resolve().parent.parent

# The package folder itself must not be on the path: its ``platform`` folder would
# hide the standard library's module of that name.
sys.path[0] = str(ROOT / "src")

# The HTTP library loads the system's certificates when it is imported, which is a
# fifth of the start. The platform speaks plain HTTP.
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
