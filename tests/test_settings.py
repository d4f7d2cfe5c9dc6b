import pytest
from click.testing import CliRunner

from jacinthpath.cli import main
from jacinthpath.errors import SettingsError
from jacinthpath.settings import load_entry_settings

VALID = """
control_addresses = ["127.0.0.1:7000"]
[process]
host = "host-1"
data_centre = "dc-1"
[listen]
callers_address = "127.0.0.1:8080"
admin_address = "127.0.0.1:9090"
[security]
cluster_key_files = ["cluster.key"]
"""


def load(tmp_path, text):
    path = tmp_path / "entry.toml"
    path.write_text(text)
    return load_entry_settings(path)


def test_valid_settings(tmp_path):
    settings = load(tmp_path, VALID)
    assert settings.process.host == "host-1"
    assert settings.limits.shutdown_limit_s == 30.0


INVALID_EDITS = {
    "unknown key": ("[process]", "[process]\nhots = 1"),
    "missing unit": ("[security]", "[limits]\nshutdown_limit = 5.0\n[security]"),
    "wrong type": ('host = "host-1"', "host = 1"),
    "missing key": ('data_centre = "dc-1"', ""),
    "host name instead of an IP address": ("127.0.0.1:8080", "localhost:8080"),
    "value out of range": ("[security]", "[limits]\nbody_bytes = -1\n[security]"),
    "fraction above one": (
        "[security]",
        "[observability]\ntrace_sample_rate = 1.5\n[security]",
    ),
    "not TOML": ("[process]", "[process"),
    "unknown log level": (
        "[security]",
        '[observability]\nlog_level = "loud"\n[security]',
    ),
    "no callers address": ('callers_address = "127.0.0.1:8080"', ""),
}


@pytest.mark.parametrize("name", INVALID_EDITS)
def test_error_names_the_key_and_the_remedy(tmp_path, snapshot, name):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, VALID.replace(*INVALID_EDITS[name]))
    assert str(caught.value).replace(str(tmp_path), "") == snapshot


def test_command_rejects_invalid_settings_before_listening(tmp_path):
    path = tmp_path / "entry.toml"
    path.write_text(VALID.replace("host-1", ""))
    result = CliRunner().invoke(main, ["entry", "--settings", str(path)])
    assert result.exit_code == 2
    assert "process.host" in result.output


def test_command_rejects_a_missing_file():
    result = CliRunner().invoke(main, ["control", "--settings", "absent.toml"])
    assert result.exit_code == 2
    assert "cannot be read" in result.output
