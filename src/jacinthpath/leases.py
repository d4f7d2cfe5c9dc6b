"""The coordinator's lease in the platform's store, as a state machine without I/O."""

from __future__ import annotations

__all__ = ["LeaseCall", "LeaseResult", "LeaseView", "StoreLease"]

import math
from typing import NamedTuple

from .grants import drift_margin_s

LEASE_TTL_S = 0.6
LEASE_RENEWAL_INTERVAL_S = 0.15
CALL_TIMEOUT_S = 0.1
RELAY_DURATION_S = 2.0  # Calls go through a peer for this long after a direct failure.
POLL_INTERVAL_S = 0.1  # While no watch reports changes.
WATCHED_POLL_INTERVAL_S = 1.0  # Bounds the delay if a watch loses an event.
RETRY_INTERVAL_S = 0.05
# One failure may be a lost packet; the second call has gone through a peer.
FAILURES_TO_UNREACHABLE = 2

_LEASE_VALID_S = LEASE_TTL_S - drift_margin_s(LEASE_TTL_S)


class LeaseView(NamedTuple):
    """Lease and generation record as read from the store.

    :param revision: revision of the generation record, for compare-and-swap.
    :param generation: newest generation; 0 when the service had no coordinator.
    :param raised_by: identity that raised the generation last.
    :param live_holder: identity that holds the lease; empty when it is free.
    :param term_left_ms: longest remaining term when the last holder released the
        lease.
    """

    revision: int
    generation: int
    raised_by: str
    live_holder: str
    term_left_ms: int = 0


class LeaseCall(NamedTuple):
    """One call to the store.

    ``read`` returns a :class:`LeaseView`. ``acquire`` creates the lease if it is
    free. ``raise`` replaces the generation record if it has ``revision``.
    ``renew`` extends the lease if ``identity`` holds it. ``release`` deletes the
    lease if ``identity`` holds it, and first writes ``term_left_ms`` to the record.

    :param sent: when the call was made.
    :param relay: whether to send the call through a peer.
    """

    kind: str
    sent: float
    identity: str
    revision: int = 0
    generation: int = 0
    term_left_ms: int = 0
    relay: bool = False


class LeaseResult(NamedTuple):
    """Result of a store call.

    :param outcome: ``done``, ``conflict``, ``unavailable`` (it had no effect) or
        ``unknown`` (it may have taken effect).
    """

    outcome: str
    view: LeaseView | None = None


class StoreLease:
    """Acquires and keeps the store lease of one service.

    The lease is counted from the moment before the call was made. A lost answer
    is resolved by reading back the identity, which is new with each acquisition:
    a restarted process, or a late call of an earlier acquisition, never matches.

    :param process_id: identity of this process, random at its start.
    """

    def __init__(self, process_id: str) -> None:
        self.end = -math.inf
        self.generation = 0
        self.poll_interval_s = POLL_INTERVAL_S
        self._process_id = process_id
        self._acquisitions = 0
        self._phase = "watching"
        self._view: LeaseView | None = None
        self._view_time = -math.inf
        self._acquire_sent = -math.inf
        self._pending_call: LeaseCall | None = None
        self._next_call_time = -math.inf
        self._failures = 0
        self._relay_until = -math.inf
        self._last_renewal = -math.inf
        self._min_generation = 0

    @property
    def identity(self) -> str:
        """Identity of the current acquisition in the store."""
        return f"{self._process_id}:{self._acquisitions}"

    @property
    def reachable(self) -> bool:
        """Whether the store answered recently, directly or through a peer."""
        return self._failures < FAILURES_TO_UNREACHABLE

    @property
    def may_be_held(self) -> bool:
        """Whether this process holds, or may hold, the lease in the store."""
        return self._phase != "watching"

    @property
    def never_coordinated(self) -> bool:
        """Whether the service never had a coordinator before this one."""
        return self._view is not None and self._view.generation == 0

    def is_held(self, now: float) -> bool:
        """Whether this process holds the lease and has raised its generation."""
        return self.generation > 0 and now < self.end

    def is_renewal_overdue(self, now: float, limit_s: float) -> bool:
        """Whether the last renewal is at least this long ago."""
        return now >= self._last_renewal + limit_s

    def may_be_free(self, now: float) -> bool:
        """Whether a candidacy may succeed: lease free, or store unreachable."""
        if not self.reachable:
            return True
        fresh = (
            self._view is not None and now < self._view_time + 3 * self.poll_interval_s
        )
        return fresh and not self._view.live_holder

    @property
    def seen_held_by_other(self) -> bool:
        """Whether another process was last seen to hold the lease."""
        seen = self._view is not None and not self.may_be_held and self.reachable
        return seen and self._view.live_holder not in ("", self.identity)

    def require_new_generation(self) -> None:
        """Require a new generation before the lease confers authority again."""
        if self._phase == "held":
            self._min_generation = self.generation + 1
            self.generation = 0
            self._phase = "acquired"
            self._next_call_time = -math.inf

    def record_watch_status(self, healthy: bool) -> None:
        """Set whether a watch reports changes; without one, polls are frequent."""
        self.poll_interval_s = WATCHED_POLL_INTERVAL_S if healthy else POLL_INTERVAL_S

    def handle_change(self) -> None:
        """Handle a change that a watch reported: read the lease at once."""
        if self._phase == "watching":
            self._next_call_time = -math.inf

    @property
    def next_generation(self) -> int:
        """Generation that is held or is to be raised; 0 without the lease."""
        if self._phase == "acquired" and self._view is not None:
            return self._view.generation + 1
        return self.generation

    def next_call(
        self, now: float, *, wanted: bool, acquire: bool, may_raise: bool = True
    ) -> LeaseCall | None:
        """Return the call that is due, if any; only one is in flight at a time.

        :param wanted: whether this process takes part; otherwise it only
            releases a lease whose acquisition took effect late.
        :param acquire: whether a free lease may be acquired now.
        :param may_raise: whether the generation may be raised under the lease. A
            candidate that fails before that leaves the generation unchanged.
        """
        if self._pending_call is not None:
            if now < self._pending_call.sent + CALL_TIMEOUT_S:
                return None
            self.handle_result(self._pending_call, LeaseResult("unknown"), now)
        if self._phase in ("held", "acquired") and now >= self.end:
            self._lose()
        if self._phase == "watching" and acquire and self.may_be_free(now):
            if self.reachable and self._view is not None:
                return self._acquire(now)
        if now < self._next_call_time or (self._phase == "watching" and not wanted):
            return None
        if self._phase == "acquired" and not may_raise:
            if now < self._last_renewal + LEASE_RENEWAL_INTERVAL_S:
                return None
            return self._call(now, "renew")
        return self._call(now)

    def handle_result(self, call: LeaseCall, result: LeaseResult, now: float) -> None:
        """Process the result of a call; late and duplicate results are harmless."""
        if call == self._pending_call:
            self._pending_call = None
            failed = result.outcome in ("unknown", "unavailable")
            if failed and not call.relay:
                self._relay_until = now + RELAY_DURATION_S
            self._failures = self._failures + 1 if failed else 0
            self._next_call_time = now + RETRY_INTERVAL_S if failed else -math.inf
        if call.identity != self.identity:
            return
        getattr(self, f"_{call.kind}_answered")(call, result, now)

    def release(self, now: float, term_left_ms: int) -> LeaseCall | None:
        """Release the lease; return the call that frees it in the store."""
        if self._phase == "watching":
            return None
        call = LeaseCall(
            "release", now, self.identity, term_left_ms=term_left_ms, relay=False
        )
        self._acquisitions += 1
        self._pending_call = None
        self._lose()
        return call

    def _call(self, now: float, kind: str = "") -> LeaseCall:
        due = {"held": "renew", "acquired": "raise"}.get(self._phase, "read")
        kind = kind or due
        view = self._view
        call = LeaseCall(
            kind,
            now,
            self.identity,
            revision=view.revision if view else 0,
            generation=view.generation + 1 if view else 0,
            relay=now < self._relay_until,
        )
        self._pending_call = call
        return call

    def _acquire(self, now: float) -> LeaseCall:
        self._acquisitions += 1
        self._acquire_sent = now
        call = LeaseCall("acquire", now, self.identity, relay=now < self._relay_until)
        self._pending_call = call
        return call

    def _lose(self) -> None:
        self._phase = "watching"
        self._view = None
        self._next_call_time = -math.inf
        self.end = -math.inf
        self.generation = 0

    def _extend(self, sent: float) -> None:
        self.end = max(self.end, sent + _LEASE_VALID_S)
        self._last_renewal = max(self._last_renewal, sent)

    def _read_answered(self, call: LeaseCall, result: LeaseResult, now: float) -> None:
        view = result.view
        if result.outcome != "done" or view is None:
            return
        if call.sent >= self._view_time:
            self._view = view
            self._view_time = call.sent
        if self._phase == "watching":
            self._next_call_time = now + self.poll_interval_s
            return
        if self._phase != "unsure":
            return
        if view.live_holder != self.identity:
            self._lose()
            self._view = view
            return
        self._extend(self._acquire_sent)
        raised = view.raised_by == self.identity
        raised = raised and view.generation >= self._min_generation
        self._phase = "held" if raised else "acquired"
        self.generation = view.generation if raised else 0

    def _acquire_answered(
        self, call: LeaseCall, result: LeaseResult, now: float
    ) -> None:
        if self._phase not in ("watching", "unsure"):
            return
        if result.outcome == "done":
            self._phase = "acquired"
            self._extend(call.sent)
        elif result.outcome == "unknown":
            self._phase = "unsure"
        else:
            self._lose()

    def _raise_answered(self, call: LeaseCall, result: LeaseResult, now: float) -> None:
        if self._phase not in ("acquired", "unsure"):
            return
        if result.outcome == "done":
            self._phase = "held"
            self.generation = call.generation
        elif result.outcome in ("unknown", "conflict"):
            self._phase = "unsure"

    def _renew_answered(self, call: LeaseCall, result: LeaseResult, now: float) -> None:
        if self._phase not in ("held", "acquired"):
            return
        if result.outcome == "done":
            self._extend(call.sent)
        if result.outcome == "done" and self._phase == "held":
            self._next_call_time = call.sent + LEASE_RENEWAL_INTERVAL_S
        elif result.outcome == "conflict":
            self._lose()
