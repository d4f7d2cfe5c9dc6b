"""Request router for servers that own keys exclusively, and its coordination.

Every public name of the library can be imported from here. Names are imported
on first use, so importing one module loads neither the daemons nor the
libraries that only daemons need.
"""

from __future__ import annotations

import importlib

_NAMES_BY_MODULE = {
    "configuration": (
        "Configuration",
        "Endpoint",
        "RequestRule",
        "ServicePolicy",
        "parse_configuration",
        "read_document",
    ),
    "deferral": ("DeferralPlanner", "Release"),
    "dissemination": (
        "Announce",
        "Digest",
        "DigestExchange",
        "Disseminator",
        "Fetch",
        "OfferResult",
        "Push",
        "Topic",
        "TopicStore",
        "choose_watchers",
    ),
    "errors": (
        "ConfigurationError",
        "JacinthpathError",
        "NotOwner",
        "NotRun",
        "OutcomeUnknown",
    ),
    "grant_messages": (
        "decode_answer",
        "decode_grant",
        "encode_answer",
        "encode_grant",
    ),
    "grants": (
        "Grant",
        "GrantAnswer",
        "GrantHolder",
        "TermTracker",
        "drift_margin_s",
        "holdings_digest",
    ),
    "hashing": ("key_hash", "rendezvous_rank", "slice_of"),
    "hotkeys": (
        "HotKeyDecision",
        "HotKeySelector",
        "HotKeySketch",
        "KeyLoad",
        "LoadReport",
        "LoadWindow",
        "SliceLoads",
        "merge_reports",
        "report_interval_s",
    ),
    "limits": ("ConcurrencyLimit", "LatencyTrend"),
    "membership": ("HostState", "Member", "MembershipView"),
    "placement": (
        "BalancingLimits",
        "MeasuredLoads",
        "Move",
        "Placement",
        "Plan",
        "ServerState",
        "apply_plan",
        "initial_owners",
        "plan_moves",
    ),
    "record_completeness": ("HolderCompleteness",),
    "record_messages": ("Claim", "ClaimResult", "KeptResponse"),
    "record_quorum": ("Decision", "RecordQuorum"),
    "record_roster": ("Roster", "choose_holders", "initial_roster"),
    "records": ("RecordLedger",),
    "registry": ("Registry",),
    "retries": ("Retry", "RetryBudget", "decide_retry", "retry_after_s"),
    "scheduling": ("Admission", "DurationEstimator", "QueuedRequest", "RequestQueue"),
    "selection": ("EndpointPool",),
    "slices": ("SliceTable", "decode_table", "encode_table"),
}
_MODULE_OF_NAME = {
    name: module for module, names in _NAMES_BY_MODULE.items() for name in names
}

__all__ = sorted(_MODULE_OF_NAME)


def __getattr__(name: str) -> object:
    module = _MODULE_OF_NAME.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f".{module}", __name__), name)


def __dir__() -> list[str]:
    return [*globals(), *__all__]
