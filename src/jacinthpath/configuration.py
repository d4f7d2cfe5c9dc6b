"""Operators' configuration: routing templates and per-account parameters.

Operators write one TOML document. A template defines services, their endpoints
and the policy for requests to them; an account refers to a template, sets its
parameters and may override its values::

    [templates.standard.services.preview]
    keyed = true
    priority = "first"
    deadline_ms = "${preview_deadline_ms}"
    endpoints = [{ server = "p1", address = "10.0.0.1:8080" }]

    [accounts.school]
    template = "standard"
    parameters = { preview_deadline_ms = 2000 }

    [accounts.school.services.preview.endpoints.p1]
    state = "draining"
"""

from __future__ import annotations

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "CheckedDocument",
    "Configuration",
    "Endpoint",
    "RequestRule",
    "ServicePolicy",
    "check_document",
    "parse_configuration",
    "read_document",
]

import re
import tomllib
from collections.abc import Mapping
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from .configuration_check import Checker
from .configuration_lines import SourceIndex, index_source
from .errors import ConfigurationError, ConfigurationProblem

PRIORITIES = ("first", "normal", "deferrable")

# The store limits a value to 1 MB; the rest is for the metadata of the history.
MAX_DOCUMENT_BYTES = 900_000


class Endpoint(NamedTuple):
    """Address of one server of a service.

    ``state`` is ``active`` or ``draining``; a draining server gets no new work.
    """

    server: str
    address: str
    data_centre: str = ""
    state: str = "active"
    weight: float = 1.0


class RequestRule(NamedTuple):
    """Policy override for the requests of a service that match a method and path.

    :param path: path pattern in which ``*`` matches any characters.
    :param method: HTTP method, or ``*`` for all.

    The other fields override those of the service unless they are ``None``.
    """

    path: str
    method: str = "*"
    idempotent: bool | None = None
    priority: str | None = None
    deadline_ms: int | None = None
    defer_limit_s: float | None = None


class ServicePolicy(NamedTuple):
    """Policy for the requests of one account to one service.

    :param keyed: whether each key is owned by one server.
    :param fencing: ``server`` if the servers check grants themselves, else
        ``router``.
    :param idempotent: whether a request may be executed more than once.
    :param priority: ``first``, ``normal`` or ``deferrable``.
    :param deadline_ms: default and maximum deadline of a request.
    :param defer_limit_s: time from arrival within which a deferrable request
        must have completed.
    :param retry_budget_ratio: retries allowed per first attempt.
    :param account_weight: relative share of the account under contention.
    :param retention_s: how long at-most-once records are kept.
    :param slots_per_server: requests that a server runs concurrently.
    :param connections_per_server: connections that a server accepts in total.
    :param slice_count: number of slices in the key space of a keyed service.
    :param rules: overrides for some requests; the first that matches applies.
    """

    service: str
    keyed: bool = False
    fencing: str = "server"
    idempotent: bool = True
    priority: str = "normal"
    deadline_ms: int = 10_000
    defer_limit_s: float = 0.0
    retry_budget_ratio: float = 0.1
    account_weight: float = 1.0
    retention_s: float = 600.0
    slots_per_server: int = 3
    connections_per_server: int = 100
    slice_count: int = 1024
    endpoints: tuple[Endpoint, ...] = ()
    rules: tuple[RequestRule, ...] = ()

    def for_request(self, method: str, path: str) -> ServicePolicy:
        """Return the policy for one request.

        :param path: path within the service, with a leading slash.
        """
        for rule in self.rules:
            if rule.method in ("*", method) and fnmatchcase(path, rule.path):
                overrides = rule._asdict().items()
                return self._replace(
                    **{
                        key: value
                        for key, value in overrides
                        if value is not None and key not in ("path", "method")
                    }
                )
        return self


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration.

    :param version: version of the document, incremented by one with each change.
    :param change_id: ID of the change that created the version.
    :param policies: resolved policy by (account, service).
    """

    version: int
    change_id: str
    policies: Mapping[tuple[str, str], ServicePolicy]

    def resolve(self, account: str, service: str) -> ServicePolicy | None:
        """Return the policy of an account for a service, or ``None``."""
        return self.policies.get((account, service))

    def services(self) -> dict[str, ServicePolicy]:
        """Return one policy per service, with the fields that all accounts share.

        It has the endpoints of all accounts. An endpoint is draining if any
        account drains it, because a key has the same owner for all accounts.
        """
        shared: dict[str, ServicePolicy] = {}
        for (_, service), policy in self.policies.items():
            existing = shared.get(service)
            if existing is None or existing.endpoints is policy.endpoints:
                shared.setdefault(service, policy)
                continue
            endpoints = _merge_endpoints(existing.endpoints, policy.endpoints)
            shared[service] = existing._replace(endpoints=endpoints)
        return shared


class CheckedDocument(NamedTuple):
    """A valid document, as it was written and as it is resolved.

    :param document: the parsed TOML document.
    :param index: lines of its keys.
    """

    document: dict[str, Any]
    index: SourceIndex
    configuration: Configuration


def parse_configuration(
    text: str, version: int = 0, change_id: str = "", path: str = "configuration"
) -> Configuration:
    """Parse and check a configuration document.

    :param path: file name for error messages.
    :raises ConfigurationError: the document is invalid; lists all problems.
    """
    document, index = read_document(text, path)
    return check_document(document, index, version, change_id, path).configuration


def check_document(
    document: dict[str, Any],
    index: SourceIndex,
    version: int = 0,
    change_id: str = "",
    path: str = "configuration",
) -> CheckedDocument:
    """Check a document that :func:`read_document` has read.

    :param path: file name for error messages.
    :raises ConfigurationError: the document is invalid; lists all problems.
    """
    checker = Checker(document, index)
    resolved = checker.check()
    if checker.problems:
        raise ConfigurationError(tuple(checker.problems), path)
    builder = _PolicyBuilder()
    policies = {
        (account, service): builder.build(service, fields)
        for (account, service), fields in resolved.items()
    }
    configuration = Configuration(version, change_id, policies)
    return CheckedDocument(document, index, configuration)


def read_document(
    text: str, path: str = "configuration"
) -> tuple[dict[str, Any], SourceIndex]:
    """Return the parsed but unchecked document and the index of its lines.

    :raises ConfigurationError: the document is too large, nested too deeply, or
        not valid TOML.
    """
    size_bytes = len(text.encode(errors="replace"))
    if size_bytes > MAX_DOCUMENT_BYTES:
        found = f"the document has {size_bytes} bytes"
        remedy = f"Shorten it to at most {MAX_DOCUMENT_BYTES} bytes."
        problem = ConfigurationProblem(0, "document", found, remedy)
        raise ConfigurationError((problem,), path)
    try:
        index = index_source(text)
        return tomllib.loads(text), index
    except ConfigurationError as error:
        raise ConfigurationError(error.problems, path) from None
    except (ValueError, RecursionError) as error:
        found = re.search(r"at line (\d+)", str(error))
        at_end = "at end of document" in str(error)
        last_line = text.count("\n") + 1
        problem = ConfigurationProblem(
            int(found[1]) if found else last_line if at_end else 0,
            "document",
            str(error)[:200].rstrip(".") or type(error).__name__,
            "Correct the TOML syntax.",
        )
        raise ConfigurationError((problem,), path) from error


class _PolicyBuilder:
    """Builds policies that share equal endpoints and rules, which bounds memory."""

    def __init__(self) -> None:
        self._endpoints: dict[Endpoint, Endpoint] = {}
        self._endpoint_tuples: dict[int, tuple[Endpoint, ...]] = {}
        self._rule_tuples: dict[int, tuple[RequestRule, ...]] = {}
        self._policies: dict[int, ServicePolicy] = {}

    def build(self, service: str, fields: dict[str, Any]) -> ServicePolicy:
        """Return the policy for resolved fields.

        The caller must keep ``fields`` alive, because policies are cached by ``id``.
        """
        policy = self._policies.get(id(fields))
        if policy is None:
            endpoints, rules = fields["endpoints"], fields["rules"]
            if id(endpoints) not in self._endpoint_tuples:
                self._endpoint_tuples[id(endpoints)] = tuple(
                    map(self._intern_endpoint, endpoints)
                )
            if id(rules) not in self._rule_tuples:
                self._rule_tuples[id(rules)] = tuple(
                    RequestRule(**item) for item in rules
                )
            values = {
                **fields,
                "endpoints": self._endpoint_tuples[id(endpoints)],
                "rules": self._rule_tuples[id(rules)],
            }
            policy = self._policies[id(fields)] = ServicePolicy(service, **values)
        return policy

    def _intern_endpoint(self, fields: dict[str, Any]) -> Endpoint:
        endpoint = Endpoint(**fields)
        return self._endpoints.setdefault(endpoint, endpoint)


def _merge_endpoints(
    first: tuple[Endpoint, ...], second: tuple[Endpoint, ...]
) -> tuple[Endpoint, ...]:
    merged = {endpoint.server: endpoint for endpoint in first}
    for endpoint in second:
        existing = merged.get(endpoint.server)
        if existing is None or endpoint.state == "draining":
            merged[endpoint.server] = endpoint
    return tuple(merged.values())
