"""Operators' configuration: routing templates and per-account parameters."""

from __future__ import annotations

__all__ = ["Configuration", "Endpoint", "ServicePolicy", "parse_configuration"]

import tomllib
from collections.abc import Mapping
from typing import NamedTuple

from .errors import ConfigurationError, ConfigurationProblem

PRIORITIES = ("first", "normal", "deferrable")


class Endpoint(NamedTuple):
    """Address of one server of a service.

    ``state`` is ``active`` or ``draining``; a draining server gets no new work.
    """

    server: str
    address: str
    data_centre: str = ""
    state: str = "active"
    weight: float = 1.0


class ServicePolicy(NamedTuple):
    """How requests of one account to one service are treated.

    :param keyed: whether each key has one owning server.
    :param fencing: ``server`` when the servers check grants, else ``router``.
    :param idempotent: whether a request may be run more than once.
    :param priority: ``first``, ``normal`` or ``deferrable``.
    :param deadline_ms: default and longest deadline of a request.
    :param defer_limit_s: time from arrival within which a deferrable request
        must have ended.
    :param retry_budget_ratio: retries allowed for each first attempt.
    :param account_weight: share of the account under contention.
    :param retention_s: how long at-most-once records are kept.
    :param slots_per_server: requests that a server runs at a time.
    :param connections_per_server: connections that a server accepts in total.
    :param slice_count: slices of the key space of a keyed service.
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


class Configuration(NamedTuple):
    """One accepted version of the operators' configuration.

    :param version: version of the value in the store.
    :param change_id: identity of the change that made it.
    :param policies: resolved policy for each (account, service).
    """

    version: int
    change_id: str
    policies: Mapping[tuple[str, str], ServicePolicy]

    def resolve(self, account: str, service: str) -> ServicePolicy | None:
        """Return the policy of an account for a service, if it has one."""
        return self.policies.get((account, service))

    def services(self) -> dict[str, ServicePolicy]:
        """Return one policy for each service, for what accounts share."""
        return {service: policy for (_, service), policy in self.policies.items()}


def parse_configuration(
    text: str, version: int = 0, change_id: str = ""
) -> Configuration:
    """Read a configuration document.

    :raises ConfigurationError: the document has any fault.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        problem = ConfigurationProblem(0, "", str(error), "Correct the TOML syntax.")
        raise ConfigurationError((problem,)) from error
    policies = {}
    for account, parameters in document["accounts"].items():
        template = document["templates"][parameters["template"]]
        for name, fields in template["services"].items():
            endpoints = tuple(
                Endpoint(**endpoint) for endpoint in fields.get("endpoints", ())
            )
            values = {**fields, "endpoints": endpoints}
            policies[account, name] = ServicePolicy(name, **values)
    return Configuration(version, change_id, policies)
