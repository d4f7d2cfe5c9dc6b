"""Tests parsing, checking and resolving of configuration documents."""

import random
import textwrap
from pathlib import Path

import pytest

from jacinthpath.configuration import MAX_DOCUMENT_BYTES, parse_configuration
from jacinthpath.configuration_lines import index_source
from jacinthpath.errors import ConfigurationError

VALID = """\
[templates.standard.parameters]
preview_deadline_ms = 2000

[templates.standard.services.preview]
keyed = true
priority = "first"
deadline_ms = "${preview_deadline_ms}"
endpoints = [
  { server = "p1", address = "10.0.0.1:80", data_centre = "a" },
  { server = "p2", address = "10.0.0.2:80" },
]

[[templates.standard.services.preview.rules]]
method = "POST"
path = "/publish/*"
idempotent = false
deadline_ms = 500

[accounts.school]
template = "standard"
parameters = { preview_deadline_ms = 1500 }

[accounts.school.services.preview.endpoints.p2]
state = "draining"

[accounts.shop]
template = "standard"
"""

FAULTY = """\
[templates.standard.services.preview]
keyed = "yes"
deadline = 5
deadline_ms = "${deadline_ms}"
priorty = "first"
endpoints = [
  { server = "p1", address = "10.0.0.1:80" },
  { server = "p1", address = "host:80", wieght = 3 },
]

[[templates.standard.services.preview.rules]]
path = "/x"
priority = "deferrable"
[[templates.standard.services.preview.rules]]
method = "get"

[templates.other.services.preview]
keyed = false
slots_per_server = 0
endpoints = [{ server = "p1", address = "10.0.0.9:80" }]

[accounts.a]
template = "standrd"

[accounts.b]
template = "standard"
parameters = { deadline_ms = 0, unused = 1 }

[accounts.b.services.preview]
keyed = false
[accounts.b.services.preview.endpoints.p1]
state = "drain"
[accounts.b.services.archive]
deadline_ms = 5

[accounts.c]
template = "other"

[account.d]
"""


def test_parameters_fill_and_override_the_template():
    configuration = parse_configuration(VALID, 4, "change")
    school = configuration.resolve("school", "preview")
    shop = configuration.resolve("shop", "preview")
    assert (school.deadline_ms, shop.deadline_ms) == (1500, 2000)
    assert [endpoint.state for endpoint in school.endpoints] == ["active", "draining"]
    assert {endpoint.state for endpoint in shop.endpoints} == {"active"}
    assert configuration.resolve("nobody", "preview") is None


def test_rule_applies_only_to_matching_requests():
    policy = parse_configuration(VALID).resolve("shop", "preview")
    policy_for_post = policy.for_request("POST", "/publish/7")
    assert (
        policy_for_post.idempotent,
        policy_for_post.deadline_ms,
        policy_for_post.priority,
    ) == (
        False,
        500,
        "first",
    )
    assert policy.for_request("GET", "/publish/7") is policy


def test_endpoint_drained_by_one_account_is_draining_for_key_ownership():
    """Guards against new grants to a server that one account is draining."""
    endpoints = parse_configuration(VALID).services()["preview"].endpoints
    assert [endpoint.state for endpoint in endpoints] == ["active", "draining"]


def test_explicit_default_does_not_conflict_between_templates():
    """Guards against rejecting templates that differ only in explicit defaults."""
    second = VALID.replace("standard", "second").replace("accounts.", "accounts.x")
    second = second.replace("keyed = true", "keyed = true\nslots_per_server = 3")
    assert len(parse_configuration(VALID + second).policies) == 4


def test_all_problems_are_reported_at_once_with_line_and_remedy(snapshot):
    with pytest.raises(ConfigurationError) as caught:
        parse_configuration(FAULTY, path="routing.toml")
    assert str(caught.value) == snapshot


@pytest.mark.parametrize(
    "text",
    [
        "a." * 300_000 + "a = 1",
        "x = " + "[" * 400_000,
        "x = " + "{a = " * 100_000,
        "x = " + "9" * 5_000,
        "x = " + '"""\\"' * 100_000,
        "[[" + "a" * (MAX_DOCUMENT_BYTES + 1),
        "x = '\ud800'",
    ],
    ids=["key", "arrays", "tables", "digits", "quotes", "size", "surrogate"],
)
def test_hostile_document_raises_configuration_error(text):
    """Guards against documents that overflow the stack or take minutes to parse."""
    with pytest.raises(ConfigurationError):
        parse_configuration(text)


def test_too_many_resolved_endpoints_are_rejected():
    """Guards against a small document that expands to gigabytes."""
    endpoints = ",".join(
        f'{{ server = "p{i}", address = "10.0.{i // 250}.{i % 250}:80" }}'
        for i in range(1000)
    )
    accounts = "\n".join(
        f'[accounts.a{i}]\ntemplate = "s"\nservices.p.endpoints.p1.weight = 2'
        for i in range(300)
    )
    text = f"[templates.s.services.p]\nendpoints = [{endpoints}]\n{accounts}"
    with pytest.raises(ConfigurationError, match="more than 200000 endpoints"):
        parse_configuration(text)


def test_mutated_documents_raise_only_configuration_errors():
    randomness = random.Random(20261204)
    for _ in range(400):
        text = list(VALID)
        for _ in range(randomness.randint(1, 5)):
            position = randomness.randrange(len(text))
            text[position] = randomness.choice("[]{}=.,\"'#\n\\$ a1\x00é")
        try:
            parse_configuration("".join(text))
        except ConfigurationError:
            continue


def test_lines_are_correct_after_strings_that_look_like_syntax():
    text = (
        'a = """\n[x]\nb = 1 # """\nc = ["]", \'[\',\n  { d = 1 }]\n[[t]]\n[[t]]\nq = 1'
    )
    lines = index_source(text).lines
    assert lines["c",] == 4
    assert lines["c", 2, "d"] == 5
    assert lines["t", 1, "q"] == 8
    assert ("b",) not in lines


def test_example_in_the_documentation_is_valid():
    page = Path(__file__).parent.parent / "docs" / "configuration.md"
    section = page.read_text().split("## The document\n")[1].split("\n- ")[0]
    assert parse_configuration(textwrap.dedent(section)).resolve("school", "publish")
