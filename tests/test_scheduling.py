import math

from hypothesis import given, settings, strategies as st

from jacinthpath.scheduling import DurationEstimator, QueuedRequest, RequestQueue

FAR_DEADLINE = 1e6
SEEDED = settings(derandomize=True, deadline=None)


def make_request(number, account="a", priority="normal", expected=0.01, **values):
    deadline = values.pop("deadline", FAR_DEADLINE)
    return QueuedRequest(number, account, priority, expected, deadline, **values)


def busy_queue(**values):
    """Return a queue whose only slot is taken by request 0."""
    queue = RequestQueue(1, **values)
    assert queue.offer(make_request(0), 0.0).decision == "admitted"
    return queue


def drain(queue, now=0.0):
    order = []
    queue.release(0)
    while (request := queue.next(now)) is not None:
        order.append(request.request_id)
        queue.release(request.request_id)
    return order


def naive_fair_order(requests):
    """Return the order by start tags, recomputed from the whole list."""
    tags = []
    for number, request in enumerate(requests):
        own = [
            tags[index] + other.expected_s / other.weight
            for index, other in enumerate(requests[:number])
            if other.account == request.account
        ]
        tags.append(own[-1] if own else 0.0)
    ranked = sorted(zip(tags, requests, strict=True), key=lambda pair: pair[0])
    return [request.request_id for _, request in ranked]


@SEEDED
@given(
    st.lists(
        st.tuples(
            st.sampled_from("abc"),
            st.sampled_from([0.25, 0.5]),
            st.sampled_from([1.0, 2.0]),
        ),
        max_size=40,
    )
)
def test_accounts_share_as_in_the_naive_order(items):
    """Guards against an account that floods the queue and delays the others."""
    queue = busy_queue()
    requests = [
        make_request(number, account, expected=expected, weight=weight)
        for number, (account, expected, weight) in enumerate(items, 1)
    ]
    for request in requests:
        queue.offer(request, 0.0)
    assert drain(queue) == naive_fair_order(requests)


class NaiveLedger:
    """Tracks which requests should be waiting and running."""

    def __init__(self):
        self.waiting = {}
        self.running = {}

    def record_offer(self, request, admission):
        for dropped in admission.shed:
            del self.waiting[dropped.request_id]
        if admission.decision == "admitted":
            self.running[request.request_id] = request
        elif admission.decision == "queued":
            self.waiting[request.request_id] = request

    def record_dispatch(self, request, now):
        assert now + request.expected_s <= request.deadline
        del self.waiting[request.request_id]
        self.running[request.request_id] = request


OPERATIONS = st.lists(
    st.one_of(
        st.tuples(
            st.just("offer"),
            st.sampled_from("ab"),
            st.sampled_from(["first", "normal", "deferrable"]),
            st.sampled_from([0.01, 0.02, 3.0]),
            st.sampled_from([0.015, 0.5, 4.0, 60.0]),
        ),
        st.tuples(st.sampled_from(["next", "finish", "cancel", "expire", "adjust"])),
        st.tuples(st.just("wait"), st.sampled_from([0.01, 0.3, 2.0])),
    ),
    max_size=80,
)


@SEEDED
@given(OPERATIONS, st.integers(1, 4))
def test_each_request_ends_exactly_once(operations, slots):
    """Guards against requests that are lost, run twice or started too late."""
    queue = RequestQueue(slots, long_after_s=1.0, waiting_limit=6)
    ledger = NaiveLedger()
    now = 0.0
    for number, (name, *values) in enumerate(operations):
        if name == "offer":
            account, priority, expected, allowed = values
            request = QueuedRequest(number, account, priority, expected, now + allowed)
            ledger.record_offer(request, queue.offer(request, now))
        elif name == "next" and (request := queue.next(now)):
            ledger.record_dispatch(request, now)
        elif name == "finish" and ledger.running:
            queue.release(ledger.running.popitem()[0])
        elif name == "cancel" and ledger.waiting:
            assert queue.cancel(ledger.waiting.popitem()[0])
        elif name == "expire":
            for request in queue.expire(now):
                del ledger.waiting[request.request_id]
            assert queue.waiting == len(ledger.waiting) <= 6
        elif name == "adjust":
            queue.adjust(slots, 1.0, pressure=1.0 + number % 3)
        elif name == "wait":
            now += values[0]
        assert queue.running == len(ledger.running)
    for request in queue.expire(now + 100.0):
        del ledger.waiting[request.request_id]
    assert not ledger.waiting and not queue.waiting


def test_long_work_leaves_slots_for_short_work():
    """Guards against short work that is blocked behind long requests."""
    queue = RequestQueue(3, long_after_s=1.0)
    long_requests = [make_request(number, expected=5.0) for number in range(3)]
    decisions = [queue.offer(request, 0.0).decision for request in long_requests]
    assert decisions == ["admitted", "queued", "queued"]
    assert queue.next(0.0) is None
    short_requests = [make_request(number) for number in (10, 11)]
    assert all(queue.offer(r, 0.0).decision == "admitted" for r in short_requests)


def test_stragglers_with_short_estimates_free_the_reserved_slots():
    """Guards against stragglers with a short expected duration that hold every slot."""
    queue = RequestQueue(3, long_after_s=1.0)
    for number in range(3):
        assert queue.offer(make_request(number), 0.0).decision == "admitted"
    assert queue.offer(make_request(3), 0.5).decision == "queued"
    assert queue.next(0.9) is None
    assert queue.next(1.1).request_id == 3


@SEEDED
@given(st.sampled_from(["normal", "deferrable"]), st.booleans())
def test_waiting_work_is_not_starved(priority, is_long):
    """Guards against a steady stream of first-class work that starves the rest."""
    queue = busy_queue(long_after_s=1.0)
    expected = 2.0 if is_long else 0.01
    low_priority = make_request(1, priority=priority, expected=expected)
    assert queue.offer(low_priority, 0.0).decision == "queued"
    running = 0
    for number in range(2, 5000):
        now = number * 0.01
        queue.offer(make_request(number, priority="first"), now)
        queue.release(running)
        running = queue.next(now).request_id
        if running == 1:
            return
    raise AssertionError("never dispatched")


def test_long_work_is_not_starved_by_short_work_of_its_class():
    """Guards against a long request that never runs in a busy service."""
    queue = busy_queue(long_after_s=1.0)
    queue.offer(make_request(1, expected=2.0), 0.0)
    running = 0
    for number in range(2, 1000):
        now = number * 0.01
        queue.offer(make_request(number), now)
        queue.release(running)
        running = queue.next(now).request_id
        if running == 1:
            assert 2.0 < now < 4.5
            return
    raise AssertionError("never dispatched")


def test_waiting_work_is_abandoned_when_its_class_is_no_longer_served():
    """Guards against waiting work that is held until its deadline in a surge."""
    queue = busy_queue(long_after_s=50.0)
    for number in range(1, 21):
        request = make_request(number, expected=0.02, deadline=4.0)
        assert queue.offer(request, 0.0).decision == "queued"
    abandoned = {}
    for step in range(1, 390):
        for request in queue.expire(step * 0.01):
            abandoned[request.request_id] = step * 0.01
    assert len(abandoned) == 20
    # The measured rate is never below 0.05 s of work per second, so the four
    # requests at the head stay while they can be dispatched in time at that rate.
    assert sorted(abandoned.values())[15] <= 0.51
    assert max(abandoned.values()) <= 3.2


def test_full_queue_sheds_deferrable_work_first():
    """Guards against an overload that refuses first-class work."""
    queue = busy_queue(waiting_limit=2)
    queue.offer(make_request(1, priority="deferrable"), 0.0)
    queue.offer(make_request(2, priority="normal"), 0.0)
    first = queue.offer(make_request(3, priority="first"), 0.0)
    assert [request.request_id for request in first.shed] == [1]
    assert queue.offer(make_request(4, priority="deferrable"), 0.0).reason == "full"


def test_full_queue_admits_other_accounts():
    """Guards against one account that fills the queue for all."""
    queue = busy_queue(waiting_limit=3)
    for number in (1, 2, 3):
        queue.offer(make_request(number, "flood"), 0.0)
    other = queue.offer(make_request(4, "quiet"), 0.0)
    assert other.decision == "queued"
    assert [request.request_id for request in other.shed] == [3]
    assert queue.offer(make_request(5, "flood"), 0.0).decision == "refused"


def test_late_work_is_abandoned_early():
    """Guards against requests held until near a deadline that cannot be met."""
    queue = RequestQueue(1, long_after_s=5.0)
    queue.offer(make_request(0, priority="first"), 0.0)
    abandoned = {}
    for number in range(1, 400):
        now = number * 0.01
        request = make_request(number, expected=0.02, deadline=now + 1.0)
        if queue.offer(request, now).decision == "refused":
            abandoned[number] = now
        if number % 4 == 0 and (running := queue.next(now)):
            queue.release(running.request_id)
        if number % 4 == 0:
            queue.release(0)
        for late in queue.expire(now):
            abandoned[late.request_id] = now
    waits = [at - number * 0.01 for number, at in abandoned.items()]
    assert len(waits) > 100
    assert sum(wait <= 0.5 for wait in waits) >= 0.9 * len(waits)


def test_pressure_holds_deferrable_work_only():
    """Guards against deferrable work of one host that delays work of other hosts."""
    queue = RequestQueue(4)
    queue.adjust(4, 1.0, pressure=3.0)
    held = queue.offer(make_request(1, priority="deferrable"), 0.0)
    assert held.decision == "queued" and queue.next(0.0) is None
    assert queue.offer(make_request(2, priority="first"), 0.0).decision == "admitted"
    queue.adjust(4, 1.0, pressure=1.0)
    assert queue.next(0.1).request_id == 1


DURATIONS = st.lists(
    st.tuples(st.integers(0, 5), st.floats(0.001, 10.0)), min_size=1, max_size=60
)


@SEEDED
@given(DURATIONS)
def test_estimates_equal_the_naive_geometric_mean(durations):
    """Guards against durations recorded for the wrong shape."""
    estimator = DurationEstimator()
    naive = {}
    for shape, duration in durations:
        estimator.observe("s", str(shape), duration)
        mean = naive.setdefault(shape, math.log(duration))
        naive[shape] = 0.9 * mean + 0.1 * math.log(duration)
    for shape, mean in naive.items():
        found = estimator.expected_s("s", str(shape))
        assert math.isclose(found, math.exp(mean), rel_tol=1e-6)


def test_estimator_memory_is_bounded_and_robust():
    """Guards against unbounded shapes and one straggler that changes a shape."""
    estimator = DurationEstimator(shape_limit=10)
    for number in range(1000):
        estimator.observe("s", "often", 0.01)
        estimator.observe("s", f"once-{number}", 0.01)
    assert len(estimator) == 10
    estimator.observe("s", "often", 0.3)
    assert estimator.expected_s("s", "often") < 0.015
