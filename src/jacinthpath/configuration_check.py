"""Validation of a whole configuration document.

All problems are reported together with their lines, so that an operator can
correct a document in one pass. The check resolves each account, because a
template and its parameters can be valid separately but not in combination.
"""

from __future__ import annotations

__all__ = ["Checker", "ResolvedPolicies"]

from collections import Counter
from collections.abc import Mapping
from typing import Any

from .configuration_lines import Path, SourceIndex
from .configuration_schema import (
    ACCOUNT_SERVICE_FIELDS,
    ENDPOINT_FIELDS,
    ENDPOINT_OVERRIDE_FIELDS,
    NAME_PATTERN,
    PARAMETER_PATTERN,
    RULE_FIELDS,
    SERVICE_FIELDS,
    SHARED_FIELDS,
    check_fields,
    check_value,
    shorten,
    unknown_key_remedy,
)
from .errors import ConfigurationProblem

ResolvedPolicies = dict[tuple[str, str], dict[str, Any]]

# The resolved policies must fit into the 64 MB of a control process.
MAX_POLICIES = 20_000
MAX_RESOLVED_ITEMS = 200_000
MAX_ENDPOINTS = 1_000
MAX_RULES = 64
MAX_PROBLEMS = 100
SERVICE_LISTS = ("endpoints", "rules")


class Checker:
    """Collects the problems of one document and resolves its accounts.

    :param index: lines of the keys of ``document``.
    """

    def __init__(self, document: Mapping[str, Any], index: SourceIndex) -> None:
        self._document = document
        self._index = index
        self._templates: dict[str, dict[str, dict[str, Any]]] = {}
        self._parameter_defaults: dict[str, dict[str, Any]] = {}
        self._unmodified_services: dict[str, dict[str, dict[str, Any]]] = {}
        self._used_parameters: set[str] = set()
        self._item_count = 0
        self.problems: list[ConfigurationProblem] = []

    def check(self) -> ResolvedPolicies:
        """Check the document; the result is valid only if ``problems`` is empty."""
        for key in self._document.keys() - {"templates", "accounts"}:
            self._report((key,), "unknown table", "Use templates or accounts.")
        for name, template in self._tables(("templates",), self._document):
            self._check_template(name, template)
        resolved: ResolvedPolicies = {}
        for name, account in self._tables(("accounts",), self._document):
            self._resolve_account(name, account, resolved)
            if self._report_exceeded_limits(resolved):
                break
        self._check_shared_fields(resolved)
        self.problems.sort()
        if len(self.problems) > MAX_PROBLEMS:
            rest = len(self.problems) - MAX_PROBLEMS
            more = ConfigurationProblem(
                0, "document", f"{rest} more problems", "Correct those above first."
            )
            self.problems[MAX_PROBLEMS:] = [more]
        return resolved

    def _report_exceeded_limits(self, resolved: ResolvedPolicies) -> bool:
        if len(resolved) > MAX_POLICIES:
            found = f"more than {MAX_POLICIES} pairs of account and service"
        elif self._item_count > MAX_RESOLVED_ITEMS:
            found = f"accounts resolve to more than {MAX_RESOLVED_ITEMS} endpoints"
        else:
            return False
        self._report(("accounts",), found, "Use fewer accounts, services or overrides.")
        return True

    def _report(self, path: Path, found: str, remedy: str) -> None:
        key = ".".join(str(part) for part in path)[:200]
        line = self._index.line_of(path)
        problem = ConfigurationProblem(line, key, found, remedy)
        # A problem in a template recurs for each account that uses it.
        if problem not in self.problems[-MAX_PROBLEMS:]:
            self.problems.append(problem)

    def _reporter(self, path: Path) -> Any:
        return lambda key, found, remedy: self._report((*path, key), found, remedy)

    def _table(self, path: Path, parent: Mapping[str, Any]) -> Mapping[str, Any]:
        value = parent.get(path[-1], {})
        if isinstance(value, dict):
            return value
        name = ".".join(str(part) for part in path)
        self._report(path, f"found {shorten(value)}", f"Write a table [{name}].")
        return {}

    def _tables(
        self, path: Path, parent: Mapping[str, Any]
    ) -> list[tuple[str, Mapping[str, Any]]]:
        table = self._table(path, parent)
        for name in table:
            if not NAME_PATTERN.fullmatch(name):
                remedy = "Use up to 100 letters, digits, '.', '_' or '-'."
                self._report((*path, name), "invalid name", remedy)
        return [(name, self._table((*path, name), table)) for name in table]

    def _check_template(self, name: str, template: Mapping[str, Any]) -> None:
        path = ("templates", name)
        for key in template.keys() - {"services", "parameters"}:
            remedy = unknown_key_remedy(key, ("services", "parameters"))
            self._report((*path, key), "unknown key", remedy)
        self._parameter_defaults[name] = dict(
            self._table((*path, "parameters"), template)
        )
        self._templates[name] = {
            service: self._check_service((*path, "services", service), fields)
            for service, fields in self._tables((*path, "services"), template)
        }
        if not self._templates[name]:
            remedy = f"Add a table [templates.{name}.services.SERVICE]."
            self._report(path, "template without services", remedy)

    def _check_service(self, path: Path, table: Mapping[str, Any]) -> dict[str, Any]:
        report = self._reporter(path)
        fields = check_fields(table, SERVICE_FIELDS, report, SERVICE_LISTS)
        fields["endpoints"] = self._check_table_list(
            path, table, "endpoints", ENDPOINT_FIELDS, ("server", "address")
        )
        fields["rules"] = self._check_table_list(
            path, table, "rules", RULE_FIELDS, ("path",), MAX_RULES
        )
        if not table.get("endpoints"):
            remedy = "Add endpoints = [{ server = ..., address = ... }]."
            self._report(path, "service without endpoints", remedy)
        for key in ("server", "address"):
            counts = Counter(endpoint.get(key) for endpoint in fields["endpoints"])
            duplicates = [value for value, n in counts.items() if value and n > 1]
            for value in duplicates:
                found = f"{key} {shorten(value)} is listed more than once"
                self._report((*path, "endpoints"), found, "Remove the duplicates.")
        return fields

    def _check_table_list(
        self,
        path: Path,
        table: Mapping[str, Any],
        key: str,
        fields: Mapping[str, Any],
        required: tuple[str, ...],
        limit: int = MAX_ENDPOINTS,
    ) -> list[dict[str, Any]]:
        items = table.get(key, [])
        if not isinstance(items, list) or len(items) > limit:
            remedy = f"Write a list of at most {limit} tables."
            self._report((*path, key), f"not a list of {key}", remedy)
            return []
        accepted = []
        for index, item in enumerate(items):
            item_path = (*path, key, index)
            if not isinstance(item, dict):
                self._report(item_path, f"found {shorten(item)}", "Write a table.")
                continue
            for name in required:
                if name not in item:
                    self._report(item_path, f"{name} is missing", f"Add {name} = ....")
            accepted.append(check_fields(item, fields, self._reporter(item_path)))
        return accepted

    def _resolve_account(
        self, name: str, account: Mapping[str, Any], resolved: ResolvedPolicies
    ) -> None:
        path = ("accounts", name)
        known = ("template", "parameters", "services")
        for key in account.keys() - {*known}:
            self._report((*path, key), "unknown key", unknown_key_remedy(key, known))
        template = account.get("template")
        if not isinstance(template, str) or template not in self._templates:
            found = f"template {shorten(template)} does not exist"
            if template is None:
                found = "template is missing"
            remedy = f"Use one of: {', '.join(sorted(self._templates)) or 'none yet'}."
            self._report((*path, "template"), found, remedy)
            return
        overrides = dict(self._tables((*path, "services"), account))
        own_parameters = self._table((*path, "parameters"), account)
        if (
            not overrides
            and not own_parameters
            and template in self._unmodified_services
        ):
            services = self._unmodified_services[template]
        else:
            services = self._resolve_services(name, template, own_parameters, overrides)
        if not overrides and not own_parameters:
            self._unmodified_services[template] = services
        for service, merged in services.items():
            resolved[name, service] = merged

    def _resolve_services(
        self,
        account: str,
        template: str,
        own_parameters: Mapping[str, Any],
        overrides: Mapping[str, Mapping[str, Any]],
    ) -> dict[str, dict[str, Any]]:
        path = ("accounts", account)
        services = self._templates[template]
        for service in overrides.keys() - services.keys():
            found = f"template {template} has no service of this name"
            remedy = f"Use one of: {', '.join(sorted(services))}."
            self._report((*path, "services", service), found, remedy)
        parameters = {**self._parameter_defaults[template], **own_parameters}
        self._used_parameters = set()
        results = {}
        for service, fields in services.items():
            service_path = ("templates", template, "services", service)
            merged = self._fill_parameters(service_path, fields, parameters, account)
            override = overrides.get(service, {})
            self._apply_override((*path, "services", service), merged, override)
            self._check_deferral(path, service, merged)
            results[service] = merged
        for key in own_parameters.keys() - self._used_parameters:
            remedy = f"Remove it, or write ${{{key}}} in template {template}."
            self._report((*path, "parameters", key), "unused parameter", remedy)
        return results

    def _fill_parameters(
        self, path: Path, fields: dict[str, Any], parameters: dict, account: str
    ) -> dict[str, Any]:
        filled = self._fill_table_parameters(
            path, fields, SERVICE_FIELDS, parameters, account
        )
        if filled is fields:
            filled = dict(fields)
        for key, item_fields in (
            ("endpoints", ENDPOINT_FIELDS),
            ("rules", RULE_FIELDS),
        ):
            items = [
                self._fill_table_parameters(
                    (*path, key, index), item, item_fields, parameters, account
                )
                for index, item in enumerate(fields[key])
            ]
            # An unchanged list is shared by all accounts of the template.
            changed = any(a is not b for a, b in zip(items, fields[key], strict=True))
            if changed:
                filled[key] = items
                self._item_count += len(items)
        return filled

    def _fill_table_parameters(
        self,
        path: Path,
        table: dict[str, Any],
        fields: Mapping[str, Any],
        parameters: dict[str, Any],
        account: str,
    ) -> dict[str, Any]:
        references = [
            (key, match[1])
            for key, value in table.items()
            if type(value) is str and (match := PARAMETER_PATTERN.fullmatch(value))
        ]
        if not references:
            return table
        filled = dict(table)
        for key, name in references:
            self._used_parameters.add(name)
            if name not in parameters:
                remedy = f"Set {name} under [accounts.{account}.parameters]."
                found = f"account {account} does not set parameter {name}"
                self._report((*path, key), found, remedy)
                filled[key] = None
                continue
            filled[key] = parameters[name]
            fault = check_value(fields[key], filled[key])
            if fault is not None:
                parameter_path = ("accounts", account, "parameters", name)
                self._report(parameter_path, f"{fault[0]} for {key}", fault[1])
                filled[key] = None
        return filled

    def _apply_override(
        self, path: Path, merged: dict[str, Any], override: Mapping[str, Any]
    ) -> None:
        report = self._reporter(path)
        shared = override.keys() & SHARED_FIELDS.keys()
        for key in shared:
            remedy = "Set it in the template."
            report(key, "cannot differ between accounts of a service", remedy)
        account_fields = {
            key: value for key, value in override.items() if key not in shared
        }
        merged.update(
            check_fields(account_fields, ACCOUNT_SERVICE_FIELDS, report, ["endpoints"])
        )
        endpoint_overrides = self._tables((*path, "endpoints"), override)
        if not endpoint_overrides:
            return
        endpoints = {item.get("server"): item for item in merged["endpoints"]}
        for server, values in endpoint_overrides:
            endpoint_path = (*path, "endpoints", server)
            if server not in endpoints:
                known = ", ".join(str(name) for name in endpoints)[:200]
                self._report(endpoint_path, "no such endpoint", f"Use one of: {known}.")
                continue
            accepted = check_fields(
                values, ENDPOINT_OVERRIDE_FIELDS, self._reporter(endpoint_path)
            )
            endpoints[server] = {**endpoints[server], **accepted}
        merged["endpoints"] = list(endpoints.values())
        self._item_count += len(endpoints)

    def _check_deferral(self, path: Path, service: str, merged: dict) -> None:
        for item in (merged, *merged["rules"]):
            limit_s = item.get("defer_limit_s", merged.get("defer_limit_s", 0))
            if item.get("priority") == "deferrable" and limit_s == 0:
                found = f"{service} is deferrable but has no time limit"
                remedy = "Set defer_limit_s."
                self._report((*path, "services", service), found, remedy)

    def _check_shared_fields(self, resolved: ResolvedPolicies) -> None:
        first_values: dict[tuple[str, str], tuple[str, Any]] = {}
        compared: set[tuple[str, int, str]] = set()
        for (account, service), fields in resolved.items():
            template = self._document["accounts"][account]["template"]
            identity = (service, id(fields["endpoints"]), template)
            if identity in compared:
                continue
            compared.add(identity)
            pairs = [
                (key, fields.get(key, field.default))
                for key, field in SHARED_FIELDS.items()
            ]
            for item in fields["endpoints"]:
                pairs.append((f"address of {item.get('server')}", item.get("address")))
            for key, value in pairs:
                if value is None:
                    continue
                other, expected = first_values.setdefault(
                    (service, key), (account, value)
                )
                if value != expected:
                    found = (
                        f"{key} of {service} is {shorten(value)} here and "
                        f"{shorten(expected)} for account {other}"
                    )
                    remedy = "Make the templates of the two accounts agree."
                    self._report(("accounts", account, "template"), found, remedy)
