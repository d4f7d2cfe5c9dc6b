"""Record holder in a control process: handles frames, the roster and transfers."""

from __future__ import annotations

__all__ = ["ROSTER_TOPIC", "RecordService"]

import asyncio
import random
import time
from typing import Any

from mode import Service

from .dissemination import Topic
from .errors import (
    FrameError,
    PeerUnavailable,
    StoreError,
    StoreOutcomeUnknown,
    VersionConflict,
)
from .gossip_service import GossipService
from .hashing import rendezvous_rank
from .hosts import HostList, ListedHost
from .logs import get_logger
from .peers import Handler, PeerConnection, PeerPool
from .record_completeness import HolderCompleteness
from .record_frames import (
    claim_result_frame,
    read_claim,
    read_page,
    read_settle,
    records_frame,
    transfer_frame,
)
from .record_messages import PeerCompleteness, TransferPage
from .record_roster import (
    QUORUM,
    ROSTER_KEY,
    Member,
    Roster,
    RosterBootstrap,
    StoreCall,
    StoreResult,
    decode_roster,
    encode_roster,
)
from .records import RecordLedger
from .store import KeyValueStore

ROSTER_TOPIC = "records/roster"

# Average interval at which each control process reads the store; 500 processes make
# 50 reads/s of the 2,000 that the store serves. The confirmation limit of 60 s
# tolerates five failed reads.
STORE_READ_INTERVAL_S = 10.0
RETRY_INTERVAL_S = 0.25

# The initial roster is created when the host list has not changed for this long, so
# that hosts that start together are all initial members.
HOST_LIST_SETTLE_S = 1.5

# A host is removed from the roster after it has been missing from the host list for
# this long. Two of three holders serve meanwhile, so an earlier removal gains nothing.
REMOVAL_DELAY_S = 10.0

_log = get_logger()


class RecordService(Service):
    """Serves the records of one control process and keeps it in the roster.

    :param topics: distributes the roster to other processes.
    :param pool: connections to other control processes.
    """

    def __init__(
        self,
        store: KeyValueStore,
        host_list: HostList,
        topics: GossipService,
        pool: PeerPool,
        ledger: RecordLedger | None = None,
    ) -> None:
        super().__init__()
        own = pool.identity
        self.member = Member(own.host, own.data_centre, own.process_id)
        self.completeness = HolderCompleteness(self.member)
        self.ledger = ledger or RecordLedger(self.completeness)
        self._store = store
        self._host_list = host_list
        self._topics = topics
        self._pool = pool
        self._store_down = False
        self._store_version = 0
        self._absent_since: dict[str, float] = {}
        topics.on_change(self._handle_topic)

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of the frames that concern records."""
        return {
            "claim": self._handle_claim,
            "lookup": self._handle_lookup,
            "settle": self._handle_settle,
            "transfer": self._handle_transfer,
        }

    def set_address(self, address: str) -> None:
        """Set the peer address of this process once it listens."""
        self.member = self.member._replace(address=address)

    def status(self) -> dict[str, int]:
        """Return the roster version, the complete version, and the memory used."""
        version, complete_up_to = self.completeness.report()
        return {
            "roster_version": version,
            "complete_up_to": complete_up_to,
            "records": len(self.ledger),
            "bytes": self.ledger.bytes_used,
        }

    async def _handle_claim(self, connection: PeerConnection, frame: Any) -> Any:
        claim = read_claim(frame.body.claim)
        return claim_result_frame(self.ledger.claim(claim, time.monotonic()))

    async def _handle_lookup(self, connection: PeerConnection, frame: Any) -> Any:
        claim = read_claim(frame.body.lookup)
        return claim_result_frame(self.ledger.lookup(claim, time.monotonic()))

    async def _handle_settle(self, connection: PeerConnection, frame: Any) -> None:
        self.ledger.settle(*read_settle(frame.body.settle), time.monotonic())

    async def _handle_transfer(self, connection: PeerConnection, frame: Any) -> Any:
        content = frame.body.transfer
        if content.requester:
            page = self.ledger.export_page(
                content.requester, content.after, time.monotonic()
            )
        else:
            page = TransferPage((), 0, self.completeness.report())
        response = records_frame(page)
        response.body.records.storeDown = self._store_down
        return response

    def _handle_topic(self, topic: Topic) -> None:
        if topic.name != ROSTER_TOPIC:
            return
        try:
            self.completeness.adopt(decode_roster(topic.content))
        except FrameError as error:
            _log.error("topic_refused", topic=topic.name, error=str(error))

    @Service.task
    async def _maintain_roster(self) -> None:
        await self._bootstrap()
        while not self.should_stop:
            try:
                await self._read_roster()
                await self._change_roster()
            except StoreError as error:
                await self._confirm_by_peers()
                _log.warning("roster_not_read", error=str(error))
            is_member = not self._must_join_roster()
            pause_s = (
                STORE_READ_INTERVAL_S
                if is_member and not self._store_down
                else RETRY_INTERVAL_S
            )
            await self.sleep(pause_s * (0.5 + random.random()))

    @Service.task
    async def _pull_records(self) -> None:
        while not self.should_stop:
            peers = self.completeness.list_unpulled_peers()
            await asyncio.gather(*(self._pull_from(peer) for peer in peers))
            await self.sleep(RETRY_INTERVAL_S * (0.5 + random.random()))

    async def _bootstrap(self) -> None:
        """Read or create the roster; find out if this is the host's first start."""
        bootstrap = RosterBootstrap(self.member, await self._list_initial_members())
        while not self.should_stop and bootstrap.next_call() is not None:
            result = await self._call_store(bootstrap.next_call())
            if result is None:
                await self.sleep(RETRY_INTERVAL_S)
                continue
            bootstrap.handle_result(result)
        initial = bootstrap.roster.at_version(1) if bootstrap.first_start else None
        if initial is not None:
            self.completeness.start_as_initial_member(bootstrap.roster, initial)
        _log.info("records_established", first_start=bootstrap.first_start)

    async def _call_store(self, call: StoreCall) -> StoreResult | None:
        try:
            if call.action == "create":
                await self._store.compare_and_swap(call.key, 0, call.value)
                return StoreResult("created")
            value = await self._store.get(call.key)
        except VersionConflict:
            return StoreResult("exists")
        except StoreOutcomeUnknown:
            return StoreResult("unclear")
        except StoreError:
            return None
        return StoreResult("found", value.data) if value else StoreResult("absent")

    async def _list_initial_members(self) -> tuple[Member, ...]:
        """Return the listed hosts once the list is stable or a roster exists."""
        listed: tuple[ListedHost, ...] = ()
        since = time.monotonic()
        while not self.should_stop:
            try:
                hosts = await self._host_list.read()
                if self._topics.get(ROSTER_TOPIC) or await self._store.get(ROSTER_KEY):
                    break
            except StoreError:
                hosts = ()
            if hosts != listed:
                listed, since = hosts, time.monotonic()
            is_listed = any(host.host == self.member.host for host in listed)
            is_stable = time.monotonic() - since >= HOST_LIST_SETTLE_S
            if is_stable and is_listed and len(listed) >= QUORUM:
                break
            await self.sleep(RETRY_INTERVAL_S)
        return tuple(
            Member(each.host, each.data_centre, "", each.control_address)
            for each in listed
        )

    async def _read_roster(self) -> None:
        requested_at = time.monotonic()
        try:
            value = await self._store.get(ROSTER_KEY)
        except StoreError:
            self._store_down = True
            raise
        self._store_down = False
        if value is None:
            return
        self._store_version = value.version
        self._apply_and_publish(decode_roster(value.data))
        self.completeness.record_confirmation(requested_at)

    def _apply_and_publish(self, roster: Roster) -> None:
        self.completeness.adopt(roster)
        self._topics.publish(Topic(ROSTER_TOPIC, roster.version, encode_roster(roster)))

    def _must_join_roster(self) -> bool:
        """Whether the roster is unknown or does not list this process."""
        return (
            self.completeness.roster is None or not self.completeness.report().version
        )

    async def _change_roster(self) -> None:
        """Add this process or remove a departed host; at most one change per call."""
        roster = self.completeness.roster
        if roster is None:
            return
        if self._must_join_roster():
            if self.member.address:
                await self._write_roster(roster.with_member(self.member))
            return
        departed = await self._find_departed_host(roster)
        if departed:
            await self._write_roster(roster.without_host(departed))

    async def _write_roster(self, roster: Roster) -> None:
        try:
            await self._store.compare_and_swap(
                ROSTER_KEY, self._store_version, encode_roster(roster)
            )
        except (VersionConflict, StoreOutcomeUnknown):
            # The next read of the roster shows which change was made.
            return
        _log.info("roster_changed", version=roster.version)
        await self._read_roster()

    async def _find_departed_host(self, roster: Roster) -> str:
        listed = {host.host for host in await self._host_list.read()}
        now = time.monotonic()
        absent = {each.host for each in roster.members} - listed
        self._absent_since = {
            host: self._absent_since.get(host, now) for host in absent
        }
        departed = [
            host
            for host, since in sorted(self._absent_since.items())
            if now - since >= REMOVAL_DELAY_S
        ]
        if departed and rendezvous_rank(departed[0], listed)[:1] == [self.member.host]:
            return departed[0]
        return ""

    async def _pull_from(self, peer: Member) -> None:
        cursor = 0
        while not self.should_stop:
            try:
                connection = await self._pool.connect(peer.address)
                if peer.process_id not in ("", connection.remote.process_id):
                    return
                frame = transfer_frame(self.member.host, cursor)
                response = await connection.request(frame)
                page = read_page(response.body.records)
            except (PeerUnavailable, FrameError):
                return
            if not self.ledger.import_page(page, peer.host, time.monotonic()):
                _log.error("records_full", peer=peer.host, records=len(self.ledger))
                return
            cursor = page.next_cursor
            if not cursor:
                return

    async def _confirm_by_peers(self) -> None:
        """Confirm the roster when a majority of data centres cannot reach the store.

        One host of each other data centre is asked. When a majority has this
        version and cannot reach the store, no process can have changed the roster.
        """
        roster = self.completeness.roster
        if roster is None:
            return
        requested_at = time.monotonic()
        members_by_data_centre: dict[str, list[Member]] = {}
        for each in roster.members:
            members_by_data_centre.setdefault(each.data_centre, []).append(each)
        members_by_data_centre.pop(self.member.data_centre, None)
        chosen = [random.choice(members) for members in members_by_data_centre.values()]
        agreeing = await asyncio.gather(
            *(self._agrees_on_roster(peer) for peer in chosen)
        )
        if 2 * (1 + sum(agreeing)) > 1 + len(members_by_data_centre):
            self.completeness.record_confirmation(requested_at)

    async def _agrees_on_roster(self, peer: Member) -> bool:
        try:
            response = await self._pool.request(peer.address, transfer_frame("", 0))
        except (PeerUnavailable, FrameError):
            return False
        content = response.body.records
        completeness = PeerCompleteness(content.rosterVersion, content.base)
        return (
            content.storeDown
            and completeness.version == self.completeness.roster.version
        )
