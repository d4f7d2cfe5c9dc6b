"""Runs the coordinators of keyed services on a control process."""

from __future__ import annotations

__all__ = ["CoordinatorService"]

import asyncio
import random
import time
from collections.abc import Iterable, Mapping
from typing import Any

from mode import Service

from .codec import new_frame
from .configuration import ServicePolicy, parse_configuration
from .coordination_events import AnswerLeaseRequest, SendingLeaseRequested
from .coordinator_runner import CoordinatorRunner, Peers
from .dissemination import Topic
from .endpoints import EndpointClient
from .errors import (
    ConfigurationError,
    FrameError,
    PeerUnavailable,
    StoreError,
)
from .gossip_service import CONFIGURATION_TOPIC, GossipService
from .hashing import rendezvous_rank
from .hosts import HostList, ListedHost
from .json_documents import parse_json
from .load_reports import read_report
from .logs import get_logger
from .peers import Handler, PeerConnection, PeerPool
from .slices import SliceTable, decode_table, encode_table
from .store import HttpKeyValueStore
from .store_leases import CoordinationStore
from .store_relay import StoreRelay
from .vouches import (
    VOUCH_DURATION_S,
    VOUCH_MIN_UPTIME_S,
    VouchAnswer,
    VouchLedger,
    VouchRequest,
    round_of,
)

TICK_S = 0.02
HOST_LIST_INTERVAL_S = 1.0
PEER_TIMEOUT_S = 0.25
PROBE_VALID_S = 0.2  # One probe serves all requests of a short burst.
TABLE_PREFIX = "table/"
DRAFT_PREFIX = "draft/"

_log = get_logger()


def _clock_s() -> float:
    """Return the time of a clock that also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class CoordinatorService(Service):
    """Takes part in leader elections for keyed services; coordinates those it wins.

    :param pool: connections to other control processes.
    :param data_centres: all data centres of the system; when empty, those that
        the host list names when the coordinator of a service is created.
    """

    def __init__(
        self,
        process_id: str,
        store: HttpKeyValueStore,
        topics: GossipService,
        endpoints: EndpointClient,
        host_list: HostList,
        pool: PeerPool,
        *,
        data_centres: Iterable[str] = (),
        min_uptime_s: float = VOUCH_MIN_UPTIME_S,
    ) -> None:
        super().__init__()
        self.process_id = process_id
        self.control_address = ""
        self._identity = pool.identity
        self._store = store
        self._relay = StoreRelay(store, pool, self._remote_addresses)
        self._topics = topics
        self._endpoints = endpoints
        self._host_list = host_list
        self._pool = pool
        self._data_centres = tuple(data_centres)
        self._min_uptime_s = min_uptime_s
        self._start_time = _clock_s()
        self._ledger = VouchLedger(self._start_time, min_uptime_s)
        self._hosts: dict[str, ListedHost] = {}
        self._tables: dict[str, SliceTable] = {}
        self._policies: dict[str, ServicePolicy] = {}
        self._runners: dict[str, CoordinatorRunner] = {}
        self._last_probe: tuple[float, bool] = -1.0, True
        self._leaving = False
        topics.on_change(self._handle_topic)

    @property
    def epochs_by_service(self) -> dict[str, int]:
        """Epoch of each service that this process coordinates."""
        now = _clock_s()
        authorities = {n: r.tracker.authority(now) for n, r in self._runners.items()}
        return {name: a.epoch for name, a in authorities.items() if a is not None}

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of the frames that concern coordination.

        Those of ``publish`` and ``fetch`` forward other topics to the gossip service.
        """
        return {
            "vouch": self._handle_vouch,
            "inquire": self._handle_vouch,
            **self._relay.handlers(),
            "lease": self._handle_lease,
            "report": self._handle_report,
            "publish": self._handle_publish,
            "fetch": self._handle_fetch,
        }

    async def release_roles(self) -> None:
        """Release every role; wait until all requests are answered or have failed."""
        self._leaving = True
        for runner in self._runners.values():
            runner.release()
        await asyncio.gather(
            *(runner.wait_for_responses() for runner in self._runners.values())
        )

    async def on_stop(self) -> None:
        """Cancel the tasks of all coordinators."""
        await asyncio.gather(*(runner.close() for runner in self._runners.values()))

    @Service.task
    async def _read_hosts(self) -> None:
        while not self.should_stop:
            try:
                hosts = await self._host_list.read()
            except StoreError:
                hosts = tuple(self._hosts.values())
            self._hosts = {entry.host: entry for entry in hosts}
            self._start_runners()
            listed = {host.data_centre for host in hosts}
            # The list is read more often until it names every data centre.
            complete = listed and listed >= set(self._data_centres)
            await self.sleep(
                HOST_LIST_INTERVAL_S if complete else HOST_LIST_INTERVAL_S / 10
            )

    @Service.task
    async def _tick(self) -> None:
        while not self.should_stop:
            for service, runner in self._runners.items():
                runner.tick(random.random(), wanted=self._is_candidate(service))
            await self.sleep(TICK_S)

    def _is_candidate(self, service: str) -> bool:
        """Whether this host ranks first for a service in its data centre."""
        if self._leaving:
            return False
        own = self._identity.data_centre
        live = [h for h in self._hosts.values() if h.state == "live"]
        names = [h.host for h in live if h.data_centre == own]
        return rendezvous_rank(service, names)[:1] == [self._identity.host]

    def _handle_topic(self, topic: Topic) -> None:
        if topic.name.startswith(TABLE_PREFIX):
            try:
                self._store_table(decode_table(topic.content))
            except FrameError as error:
                _log.error("table_refused", topic=topic.name, error=str(error))
        if topic.name != CONFIGURATION_TOPIC:
            return
        try:
            configuration = parse_configuration(parse_json(topic.content)["content"])
        except (ConfigurationError, ValueError, KeyError):
            return
        services = configuration.services()
        self._policies = {n: p for n, p in services.items() if p.keyed}
        self._start_runners()
        for service, runner in self._runners.items():
            if service in self._policies:
                runner.update_servers(self._policies[service])

    def _start_runners(self) -> None:
        if not self._hosts:
            return
        listed = {host.data_centre for host in self._hosts.values()}
        data_centres = self._data_centres or tuple(listed)
        for service, policy in self._policies.items():
            if service in self._runners:
                continue
            self._runners[service] = CoordinatorRunner(
                policy,
                self._identity,
                data_centres,
                self._start_time,
                self._min_uptime_s,
                CoordinationStore(service, self._store, self._relay.store),
                self._endpoints,
                Peers(
                    self._data_centres_by_host,
                    self._request_vouch,
                    self._send_draft,
                    self._publish,
                ),
                self.control_address,
            )
            if service in self._tables:
                self._runners[service].record_table(self._tables[service])

    def _data_centres_by_host(self) -> Mapping[str, str]:
        return {host.host: host.data_centre for host in self._hosts.values()}

    def _remote_addresses(self) -> list[str]:
        """Return the addresses of control processes in other data centres."""
        own = self._identity.data_centre
        hosts = self._hosts.values()
        return [h.control_address for h in hosts if h.data_centre != own]

    def _store_table(self, table: SliceTable) -> bool:
        known = self._tables.get(table.service)
        if known and (known.epoch, known.version) > (table.epoch, table.version):
            return False
        self._tables[table.service] = table
        self._ledger.record_epoch(table.service, table.epoch, _clock_s())
        if table.service in self._runners:
            self._runners[table.service].record_table(table)
        return True

    def _publish(self, table: SliceTable) -> None:
        name = TABLE_PREFIX + table.service
        self._topics.publish(Topic(name, table.version, encode_table(table)))

    async def _request_vouch(
        self, request: VouchRequest
    ) -> tuple[VouchAnswer, SliceTable | None]:
        """Send a request to a host; after a granted inquiry, also fetch its table."""
        if request.host == self._identity.host:
            return await self._answer_vouch(request), self._tables.get(request.service)
        address = self._hosts[request.host].control_address
        frame = new_frame()
        # A release is sent as a ``vouch`` frame with a duration of 0.
        kind = "inquire" if request.kind == "inquire" else "vouch"
        content = frame.body.init(kind)
        content.service, content.holder = request.service, request.holder
        content.epoch = request.epoch
        content.durationMs = (
            0 if request.kind == "release" else int(VOUCH_DURATION_S * 1000)
        )
        content.termsMs = request.terms_ms
        reply = (await self._pool.request(address, frame, PEER_TIMEOUT_S)).body.vouched
        answer = VouchAnswer(
            reply.granted,
            reply.reason,
            reply.remainingMs,
            reply.highestEpoch,
            reply.holder,
        )
        if kind == "vouch" or not answer.granted:
            return answer, None
        # Read after the commitment: the host accepts no later table of a predecessor.
        return answer, await self._fetch_table(address, request.service)

    async def _fetch_table(self, address: str, service: str) -> SliceTable | None:
        frame = new_frame()
        frame.body.init("fetch").names = [DRAFT_PREFIX + service]
        answer = await self._pool.request(address, frame, PEER_TIMEOUT_S)
        tables = [decode_table(bytes(t.content)) for t in answer.body.publish.topics]
        return tables[0] if tables else None

    async def _send_draft(self, host: str, holder: str, table: SliceTable) -> bool:
        """Ask a host to store a copy; return whether it did."""
        if host == self._identity.host:
            return self._store_table(table)
        frame = new_frame()
        topic = frame.body.init("publish").init("topics", 1)[0]
        topic.name = f"{DRAFT_PREFIX}{table.service}/{holder}"
        topic.version, topic.content = table.version, encode_table(table)
        address = self._hosts[host].control_address
        try:
            await self._pool.request(address, frame, PEER_TIMEOUT_S)
        except (PeerUnavailable, FrameError):
            return False
        return True

    async def _answer_vouch(self, request: VouchRequest) -> VouchAnswer:
        reachable = True
        if round_of(request.epoch) and request.kind != "release":
            reachable = await self._store_reachable()
        return self._ledger.answer(request, _clock_s(), store_reachable=reachable)

    async def _store_reachable(self) -> bool:
        probed, reachable = self._last_probe
        if _clock_s() >= probed + PROBE_VALID_S:
            try:
                async with asyncio.timeout(PEER_TIMEOUT_S / 2):
                    result = await self._store.send_call("GET", "/kv/probe", b"")
                reachable = 0 < result.status < 500
            except TimeoutError:
                reachable = False
            self._last_probe = _clock_s(), reachable
        return reachable

    async def _handle_vouch(self, connection: PeerConnection, frame: Any) -> Any:
        kind = frame.body.which()
        content = getattr(frame.body, kind)
        if kind == "vouch" and content.durationMs == 0:
            kind = "release"
        request = VouchRequest(
            kind,
            self._identity.host,
            content.service,
            content.holder,
            content.epoch,
            0.0,
            content.termsMs,
        )
        answer = await self._answer_vouch(request)
        reply = new_frame()
        vouched = reply.body.init("vouched")
        vouched.granted, vouched.reason = answer.granted, answer.reason
        vouched.remainingMs = answer.remaining_ms
        vouched.highestEpoch, vouched.holder = answer.highest_epoch, answer.holder
        return reply

    async def _handle_publish(self, connection: PeerConnection, frame: Any) -> Any:
        topics = [*frame.body.publish.topics]
        if len(topics) != 1 or not topics[0].name.startswith(DRAFT_PREFIX):
            return await self._topics.handlers()["publish"](connection, frame)
        table = decode_table(bytes(topics[0].content))
        holder = topics[0].name.removeprefix(f"{DRAFT_PREFIX}{table.service}/")
        allowed = self._ledger.may_keep(table.service, holder, _clock_s())
        if not allowed or not self._store_table(table):
            raise FrameError(
                "The table is older than the stored one or of a replaced coordinator."
            )

    async def _handle_fetch(self, connection: PeerConnection, frame: Any) -> Any:
        names = [*frame.body.fetch.names]
        if len(names) != 1 or not names[0].startswith(DRAFT_PREFIX):
            return await self._topics.handlers()["fetch"](connection, frame)
        table = self._tables.get(names[0].removeprefix(DRAFT_PREFIX))
        reply = new_frame()
        entries = reply.body.init("publish").init("topics", int(table is not None))
        if table is not None:
            entries[0].name, entries[0].version = names[0], table.version
            entries[0].content = encode_table(table)
        return reply

    async def _handle_lease(self, connection: PeerConnection, frame: Any) -> Any:
        content = frame.body.lease
        reply = new_frame()
        leased = reply.body.init("leased")
        runner = self._runners.get(content.service)
        if runner is None:
            return reply
        request = SendingLeaseRequested(
            content.router, content.stampMs, content.tableVersion
        )
        for effect in runner.handle(request):
            if isinstance(effect, AnswerLeaseRequest):
                lease = effect.lease
                leased.granted, leased.epoch = lease.granted, lease.epoch
                leased.tableVersion = lease.table_version
                leased.stampMs, leased.termMs = lease.stamp_ms, lease.term_ms
        return reply

    async def _handle_report(self, connection: PeerConnection, frame: Any) -> None:
        runner = self._runners.get(frame.body.report.service)
        slice_count = 0 if runner is None else runner.slice_count
        # Routers that do not know of a takeover yet still report to this process.
        if slice_count:
            runner.add_report(read_report(frame.body.report, slice_count))
