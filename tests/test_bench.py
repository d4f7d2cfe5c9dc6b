import json

from click.testing import CliRunner

from bench.__main__ import main
from bench.measures import MEASURES, Result, print_variant


@MEASURES.register("stub")
def run_stub_measure(seed):
    return Result(0.5, 2.0, "s", (print_variant("only", seed=seed),))


def test_result_is_written_as_json_and_plot(tmp_path):
    """A run with --json and --plot writes both report files."""
    result = CliRunner().invoke(
        main,
        [
            *("stub", "--seed", "1"),
            *("--json", str(tmp_path / "result.json")),
            *("--plot", str(tmp_path / "result.png")),
        ],
    )
    assert result.exit_code == 0, result.output
    closing = "measure=stub product=0.5 naive=2 ratio=0.25 unit=s"
    assert result.output.splitlines()[-1] == closing
    assert json.loads((tmp_path / "result.json").read_text())["seed"] == 1
    assert (tmp_path / "result.png").read_bytes().startswith(b"\x89PNG")


def test_error_for_unknown_measure_lists_known_names():
    result = CliRunner().invoke(main, ["speed"])
    assert result.exit_code == 1
    assert "Use one of" in result.output
