"""Checks of a valid document of routing templates: unused entries, contradictions.

:mod:`jacinthpath.configuration_check` reports what makes a document invalid.
"""

from __future__ import annotations

__all__ = ["TEMPLATE_CHECKS"]

from collections.abc import Callable, Iterable, Iterator, Mapping
from fnmatch import fnmatchcase
from typing import Any, NamedTuple

from .configuration import CheckedDocument, RequestRule, ServicePolicy
from .configuration_findings import Finding, Place, error, warning
from .configuration_lines import Path
from .configuration_schema import PARAMETER_PATTERN
from .registry import Registry

TEMPLATE_CHECKS: Registry[Callable[[CheckedDocument], Iterator[Finding]]] = Registry(
    "template check"
)


class _ResolvedService(NamedTuple):
    """A service as one account resolves it, or several accounts without overrides."""

    document: CheckedDocument
    account: str
    template: str
    policy: ServicePolicy

    def place(self, *keys: str | int) -> Place:
        """Return where a value is set: by the account, else by the template."""
        service = self.policy.service
        overrides = ("accounts", self.account, "services", service)
        path: Path = ("templates", self.template, "services", service)
        if keys and keys[0] in _find_table(self.document.document, overrides):
            path = overrides
        return _place(self.document, (*path, *keys))

    def sets(self, key: str) -> bool:
        """Return whether the document sets a value of the service."""
        service = self.policy.service
        root = self.document.document
        return any(
            key in _find_table(root, (*owner, "services", service))
            for owner in (("accounts", self.account), ("templates", self.template))
        )

    def uses_priority(self, priority: str) -> bool:
        """Return whether requests of the service can have a priority."""
        rules = self.policy.rules
        return self.policy.priority == priority or any(
            rule.priority == priority for rule in rules
        )

    def is_idempotent(self) -> bool:
        """Return whether all requests of the service are idempotent."""
        rules = self.policy.rules
        return self.policy.idempotent and all(
            rule.idempotent is not False for rule in rules
        )


def _place(document: CheckedDocument, path: Path) -> Place:
    return Place(path, document.index.line_of(path))


def _find_table(document: Mapping[str, Any], path: Path) -> Mapping[str, Any]:
    """Return a table by its path, an empty one if there is none."""
    table: Any = document
    for key in path:
        table = table.get(key, {})
    return table


def _resolved_services(document: CheckedDocument) -> Iterator[_ResolvedService]:
    """Yield each distinct policy of a service once, with the first account of it."""
    seen: set[int] = set()
    for (account, _), policy in document.configuration.policies.items():
        if id(policy) in seen:
            continue
        seen.add(id(policy))
        template = document.document["accounts"][account]["template"]
        yield _ResolvedService(document, account, template, policy)


@TEMPLATE_CHECKS.register("no-accounts")
def _check_no_accounts(document: CheckedDocument) -> Iterator[Finding]:
    if not document.configuration.policies:
        message = "without accounts, all requests are refused"
        remedy = "Add a table [accounts.NAME] that names a template."
        yield error(Place(()), message, remedy)


@TEMPLATE_CHECKS.register("unused-template")
def _check_unused_template(document: CheckedDocument) -> Iterator[Finding]:
    accounts = _find_table(document.document, ("accounts",))
    used = {account["template"] for account in accounts.values()}
    for name in _find_table(document.document, ("templates",)):
        if name not in used:
            place = _place(document, ("templates", name))
            remedy = "Remove it, or name it as the template of an account."
            yield warning(place, "no account uses the template", remedy)


@TEMPLATE_CHECKS.register("unused-parameter")
def _check_unused_parameter(document: CheckedDocument) -> Iterator[Finding]:
    for name, template in _find_table(document.document, ("templates",)).items():
        references = set(_iter_references(template["services"]))
        for parameter in template.get("parameters", {}):
            if parameter not in references:
                place = _place(document, ("templates", name, "parameters", parameter))
                remedy = f"Remove it, or write ${{{parameter}}} in the template."
                yield warning(place, "no value refers to the parameter", remedy)


@TEMPLATE_CHECKS.register("override-without-effect")
def _check_override_without_effect(document: CheckedDocument) -> Iterator[Finding]:
    for name, account in _find_table(document.document, ("accounts",)).items():
        template = document.document["templates"][account["template"]]
        yield from _compare_override(
            document,
            ("accounts", name, "parameters"),
            account.get("parameters", {}),
            template.get("parameters", {}),
        )
        for service, override in account.get("services", {}).items():
            path = ("accounts", name, "services", service)
            base = template["services"][service]
            yield from _compare_override(document, path, override, base)
            endpoints = {item["server"]: item for item in base["endpoints"]}
            for server, values in override.get("endpoints", {}).items():
                # A parameter may name the server of an endpoint.
                endpoint = endpoints.get(server, {})
                endpoint_path = (*path, "endpoints", server)
                yield from _compare_override(document, endpoint_path, values, endpoint)


@TEMPLATE_CHECKS.register("shadowed-rule")
def _check_shadowed_rule(document: CheckedDocument) -> Iterator[Finding]:
    seen: set[int] = set()
    for service in _resolved_services(document):
        # Accounts of one template share its rules.
        rules = service.policy.rules
        if id(rules) in seen:
            continue
        seen.add(id(rules))
        for index, rule in enumerate(rules):
            earlier = _find_covering_rule(rules[:index], rule)
            if earlier is not None:
                yield warning(
                    service.place("rules", index),
                    f"the rule is never used: an earlier one, {earlier.method} "
                    f"{earlier.path}, matches the same requests",
                    "Put the rule before the earlier one, or remove it.",
                )


@TEMPLATE_CHECKS.register("rule-without-effect")
def _check_rule_without_effect(document: CheckedDocument) -> Iterator[Finding]:
    # A rule before others may exempt requests from them, so only the last counts.
    for service in _resolved_services(document):
        if not service.policy.rules:
            continue
        rule = service.policy.rules[-1]
        overrides = rule._replace(path="", method="")._asdict()
        values = service.policy._asdict()
        if all(
            value in (None, "") or value == values[key]
            for key, value in overrides.items()
        ):
            yield warning(
                service.place("rules", len(service.policy.rules) - 1),
                "the last rule changes no value of the service",
                "Remove it, or set the value that it should change.",
            )


@TEMPLATE_CHECKS.register("no-active-endpoint")
def _check_no_active_endpoint(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        if all(item.state == "draining" for item in service.policy.endpoints):
            yield error(
                service.place("endpoints"),
                f"all endpoints are draining for account {service.account}",
                "Leave one endpoint active; a draining one gets no new requests.",
            )


@TEMPLATE_CHECKS.register("shared-address")
def _check_shared_address(document: CheckedDocument) -> Iterator[Finding]:
    first: dict[str, str] = {}
    for service, policy in document.configuration.services().items():
        for endpoint in policy.endpoints:
            other = first.setdefault(endpoint.address, service)
            if other != service:
                place = _place_of_endpoint(document, service, endpoint.server)
                message = f"{endpoint.address} is an endpoint of service {other} too"
                remedy = (
                    "Correct the address, or merge the services; their limits for "
                    "each server do not count each other's requests."
                )
                yield warning(place, message, remedy)


@TEMPLATE_CHECKS.register("endpoints-without-slices")
def _check_endpoints_without_slices(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        policy = service.policy
        if policy.keyed and policy.slice_count < len(policy.endpoints):
            yield warning(
                service.place("slice_count"),
                f"{policy.slice_count} slices cannot be spread over "
                f"{len(policy.endpoints)} endpoints",
                "Raise slice_count, or remove endpoints that would own no keys.",
            )


@TEMPLATE_CHECKS.register("keyed-values-without-keys")
def _check_keyed_values_without_keys(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        if service.policy.keyed:
            continue
        for key in ("fencing", "slice_count"):
            if service.sets(key):
                remedy = f"Remove {key}, or set keyed = true."
                message = f"{key} has no effect on a service that is not keyed"
                yield warning(service.place(key), message, remedy)


@TEMPLATE_CHECKS.register("slots-above-connections")
def _check_slots_above_connections(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        policy = service.policy
        if policy.connections_per_server < policy.slots_per_server:
            yield warning(
                service.place("connections_per_server"),
                f"{policy.connections_per_server} connections cannot use "
                f"{policy.slots_per_server} slots of a server",
                "Raise connections_per_server, or lower slots_per_server.",
            )


@TEMPLATE_CHECKS.register("deadline-above-defer-limit")
def _check_deadline_above_defer_limit(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        policy = service.policy
        if policy.priority != "deferrable" or not service.sets("deadline_ms"):
            continue
        if policy.deadline_ms > 1000 * policy.defer_limit_s:
            yield warning(
                service.place("defer_limit_s"),
                f"deferrable requests end after {policy.defer_limit_s:g} s, before "
                f"their deadline of {policy.deadline_ms} ms",
                "Raise defer_limit_s, or remove deadline_ms, which it replaces.",
            )


@TEMPLATE_CHECKS.register("defer-limit-without-effect")
def _check_defer_limit_without_effect(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        if service.sets("defer_limit_s") and not service.uses_priority("deferrable"):
            yield warning(
                service.place("defer_limit_s"),
                "defer_limit_s has no effect: no request is deferrable",
                'Remove it, or set priority = "deferrable".',
            )


@TEMPLATE_CHECKS.register("retention-without-effect")
def _check_retention_without_effect(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        if service.sets("retention_s") and service.is_idempotent():
            yield warning(
                service.place("retention_s"),
                "retention_s has no effect: all requests are idempotent",
                "Remove it, or set idempotent = false.",
            )


@TEMPLATE_CHECKS.register("retention-below-deadline")
def _check_retention_below_deadline(document: CheckedDocument) -> Iterator[Finding]:
    for service in _resolved_services(document):
        policy = service.policy
        if service.is_idempotent() or not service.sets("retention_s"):
            continue
        if 1000 * policy.retention_s < policy.deadline_ms:
            yield warning(
                service.place("retention_s"),
                f"records are kept for {policy.retention_s:g} s, less than the "
                f"deadline of {policy.deadline_ms} ms",
                "Raise retention_s; a repeated request could run again.",
            )


def _iter_references(value: Any) -> Iterator[str]:
    """Yield the names of the parameters that values refer to."""
    if isinstance(value, str):
        match = PARAMETER_PATTERN.fullmatch(value)
        if match is not None:
            yield match[1]
        return
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return
    for inner in value:
        yield from _iter_references(inner)


def _compare_override(
    document: CheckedDocument,
    path: Path,
    override: Mapping[str, Any],
    base: Mapping[str, Any],
) -> Iterator[Finding]:
    for key, value in override.items():
        if not isinstance(value, dict) and key in base and base[key] == value:
            place = _place(document, (*path, key))
            remedy = "Remove it; the template already sets the same value."
            yield warning(place, "the value has no effect", remedy)


def _find_covering_rule(
    earlier_rules: Iterable[RequestRule], rule: RequestRule
) -> RequestRule | None:
    for earlier in earlier_rules:
        if earlier.method in ("*", rule.method) and _covers(earlier.path, rule.path):
            return earlier
    return None


def _covers(pattern: str, other: str) -> bool:
    """Return whether a path pattern matches all that another one matches.

    It may miss a pair: patterns with brackets or question marks cover only equal ones.
    """
    if pattern == other or pattern in ("*", "/*"):
        return True
    if set(pattern + other) & set("?["):
        return False
    # A "*" of the other pattern can be matched by a "*" only, which then matches
    # whatever stands in its place.
    return fnmatchcase(other, pattern)


def _place_of_endpoint(document: CheckedDocument, service: str, server: str) -> Place:
    for name, template in _find_table(document.document, ("templates",)).items():
        endpoints = template["services"].get(service, {}).get("endpoints", [])
        for index, endpoint in enumerate(endpoints):
            if endpoint["server"] == server:
                path = ("templates", name, "services", service, "endpoints", index)
                return _place(document, path)
    return Place(())
