import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from jacinthpath.cli import main
from jacinthpath.metrics import DESCRIPTIONS, Metrics

ROOT = Path(__file__).parent.parent


@pytest.mark.parametrize("page", ["metrics", "settings"])
def test_committed_page_is_current(page):
    """Guards against a page that is out of date with the code."""
    result = CliRunner().invoke(main, ["reference", page])
    assert result.output == (ROOT / "docs" / f"{page}.md").read_text()


def test_every_metric_is_described():
    used_names = set()
    for path in (ROOT / "src").rglob("*.py"):
        pattern = r'metrics\.(?:count|gauge|observe)\(\s*"([a-z_]+)"'
        used_names |= set(re.findall(pattern, path.read_text()))
    assert used_names <= DESCRIPTIONS.keys()


def test_metrics_page():
    metrics = Metrics()
    metrics.count("requests_total", service="glyph", outcome="answered")
    metrics.observe("request_duration_seconds", 0.02, service="glyph")
    metrics.observe("request_duration_seconds", 99.0, service="glyph")
    metrics.gauge("deferred_requests", 3)
    page = metrics.render().decode()
    assert 'requests_total{outcome="answered",service="glyph"} 1' in page
    assert 'request_duration_seconds_bucket{le="+Inf",service="glyph"} 2' in page
    assert "deferred_requests 3" in page
