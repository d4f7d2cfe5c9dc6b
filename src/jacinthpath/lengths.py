"""Expected lengths of requests, learned by service and shape."""

from __future__ import annotations

__all__ = ["LengthEstimator"]

import math

# A request this many times longer than is typical for its service is long.
# Stragglers run about 30 times longer, ordinary requests vary by two or three.
LONG_FACTOR = 6.0

_LOG_GAIN = 0.1
_SHAPE_LIMIT = 4096


class LengthEstimator:
    """Learns how long requests of each (service, shape) run.

    The estimate is an exponentially weighted geometric mean: one straggler
    among ordinary requests of the same shape raises it by less than half.
    The shapes used least recently are forgotten beyond ``shape_limit``.
    """

    def __init__(
        self, default_s: float = 0.05, shape_limit: int = _SHAPE_LIMIT
    ) -> None:
        self._default = math.log(default_s)
        self._limit = shape_limit
        self._shapes: dict[tuple[str, str], float] = {}
        self._services: dict[str, float] = {}

    def expected_s(self, service: str, shape: str) -> float:
        """Return the expected length of a request in seconds."""
        value = self._shapes.get((service, shape))
        if value is None:
            value = self._services.get(service, self._default)
        return math.exp(value)

    def long_after_s(self, service: str) -> float:
        """Return the length from which a request of a service counts as long."""
        return LONG_FACTOR * math.exp(self._services.get(service, self._default))

    def observe(self, service: str, shape: str, length_s: float) -> None:
        """Record the length of a request that was answered."""
        length = math.log(max(length_s, 1e-6))
        typical = self._services.get(service)
        if typical is None:
            typical = length
        self._services[service] = typical + _LOG_GAIN * (length - typical)
        key = (service, shape)
        known = self._shapes.pop(key, None)
        if known is None:
            known = length
            if len(self._shapes) >= self._limit:
                del self._shapes[next(iter(self._shapes))]
        self._shapes[key] = known + _LOG_GAIN * (length - known)

    def __len__(self) -> int:
        return len(self._shapes)
