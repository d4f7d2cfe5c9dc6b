"""Expected durations of requests, learned by service and shape.

The shape of a request is its method and first path segment.
"""

from __future__ import annotations

__all__ = ["DurationEstimator"]

import math

# A request this many times longer than is typical for its service counts as long.
# Stragglers run about 30 times longer; ordinary requests vary by two or three.
LONG_FACTOR = 6.0

_LOG_GAIN = 0.1
_SHAPE_LIMIT = 4096


class DurationEstimator:
    """Estimates how long requests of each (service, shape) run.

    The estimate is an exponentially weighted geometric mean: one straggler
    among ordinary requests of the same shape raises it by less than half.
    Beyond ``shape_limit`` the least recently observed shapes are evicted.
    """

    def __init__(
        self, default_s: float = 0.05, shape_limit: int = _SHAPE_LIMIT
    ) -> None:
        self._default_log_s = math.log(default_s)
        self._shape_limit = shape_limit
        self._shape_means: dict[tuple[str, str], float] = {}
        self._service_means: dict[str, float] = {}

    def expected_s(self, service: str, shape: str) -> float:
        """Return the expected duration of a request in seconds."""
        log_mean = self._shape_means.get((service, shape))
        if log_mean is None:
            log_mean = self._service_means.get(service, self._default_log_s)
        return math.exp(log_mean)

    def long_after_s(self, service: str) -> float:
        """Return the duration above which a request of a service counts as long."""
        return LONG_FACTOR * math.exp(
            self._service_means.get(service, self._default_log_s)
        )

    def observe(self, service: str, shape: str, duration_s: float) -> None:
        """Record the duration of a request that was answered."""
        log_duration = math.log(max(duration_s, 1e-6))
        service_mean = self._service_means.get(service)
        if service_mean is None:
            service_mean = log_duration
        self._service_means[service] = service_mean + _LOG_GAIN * (
            log_duration - service_mean
        )
        key = (service, shape)
        shape_mean = self._shape_means.pop(key, None)
        if shape_mean is None:
            shape_mean = log_duration
            if len(self._shape_means) >= self._shape_limit:
                del self._shape_means[next(iter(self._shape_means))]
        self._shape_means[key] = shape_mean + _LOG_GAIN * (log_duration - shape_mean)

    def __len__(self) -> int:
        return len(self._shape_means)
