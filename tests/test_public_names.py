import subprocess
import sys

import jacinthpath


def test_every_public_name_can_be_imported():
    for name in jacinthpath.__all__:
        assert getattr(jacinthpath, name).__name__ == name


def test_library_modules_load_no_daemon_dependencies():
    """Guards against needless memory use in embedders and the control process."""
    code = (
        "import sys, jacinthpath; jacinthpath.GrantHolder, jacinthpath.RequestQueue;"
        "print([m for m in ('aiohttp', 'mode', 'structlog') if m in sys.modules])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
