"""Record holder in a control process: frames, roster, transfers."""

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
from .record_frames import (
    read_claim,
    read_page,
    read_settle,
    transfer_frame,
    write_answer,
    write_page,
)
from .record_messages import PeerStanding, TransferPage
from .record_roster import (
    QUORUM,
    ROSTER_KEY,
    Founding,
    Member,
    Roster,
    StoreCall,
    StoreReply,
    decode_roster,
    encode_roster,
)
from .record_standing import HolderStanding
from .records import RecordLedger
from .store import KeyValueStore

ROSTER_TOPIC = "records/roster"

# Reads of the store by each control process; 500 of them make 50 reads/s of the
# 2,000 that the store serves. The confirmation limit of 60 s allows five misses.
STORE_READ_S = 10.0
RETRY_S = 0.25

# The fleet is founded when the host list has not changed for this long, so that
# hosts that start together are founders together.
FOUNDING_SETTLE_S = 1.5

# A host that has left the host list for this long leaves the roster. Two of three
# holders serve meanwhile, so haste gains nothing.
REMOVAL_DELAY_S = 10.0

_log = get_logger()


class RecordService(Service):
    """Serves the records of one control process and keeps it in the roster.

    :param topics: spreads the roster to other processes.
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
        self.standing = HolderStanding(self.member)
        self.ledger = ledger or RecordLedger(self.standing)
        self._store = store
        self._host_list = host_list
        self._topics = topics
        self._pool = pool
        self._store_down = False
        self._store_version = 0
        self._absent_since: dict[str, float] = {}
        topics.on_change(self._on_topic)

    def handlers(self) -> dict[str, Handler]:
        """Return the handlers of the frames that concern records."""
        return {
            "claim": self._on_claim,
            "lookup": self._on_lookup,
            "settle": self._on_settle,
            "transfer": self._on_transfer,
        }

    def set_address(self, address: str) -> None:
        """Take the peer address of this process once it listens."""
        self.member = self.member._replace(address=address)

    def status(self) -> dict[str, int]:
        """Return the roster version, whether it is complete, and the memory used."""
        version, base = self.standing.standing()
        return {
            "roster_version": version,
            "complete_up_to": base,
            "records": len(self.ledger),
            "bytes": self.ledger.bytes_used,
        }

    async def _on_claim(self, connection: PeerConnection, frame: Any) -> Any:
        claim = read_claim(frame.body.claim)
        return write_answer(self.ledger.claim(claim, time.monotonic()))

    async def _on_lookup(self, connection: PeerConnection, frame: Any) -> Any:
        claim = read_claim(frame.body.lookup)
        return write_answer(self.ledger.lookup(claim, time.monotonic()))

    async def _on_settle(self, connection: PeerConnection, frame: Any) -> None:
        self.ledger.settle(*read_settle(frame.body.settle), time.monotonic())

    async def _on_transfer(self, connection: PeerConnection, frame: Any) -> Any:
        content = frame.body.transfer
        if content.requester:
            page = self.ledger.transfer(
                content.requester, content.after, time.monotonic()
            )
        else:
            page = TransferPage((), 0, self.standing.standing())
        answer = write_page(page)
        answer.body.records.storeDown = self._store_down
        return answer

    def _on_topic(self, topic: Topic) -> None:
        if topic.name != ROSTER_TOPIC:
            return
        try:
            self.standing.adopt(decode_roster(topic.content))
        except FrameError as error:
            _log.error("topic_refused", topic=topic.name, error=str(error))

    @Service.task
    async def _keep_roster(self) -> None:
        await self._establish()
        while not self.should_stop:
            try:
                await self._read_roster()
                await self._change_roster()
            except StoreError as error:
                await self._confirm_by_peers()
                _log.warning("roster_not_read", error=str(error))
            settled = not self._needs_change()
            pause_s = STORE_READ_S if settled and not self._store_down else RETRY_S
            await self.sleep(pause_s * (0.5 + random.random()))

    @Service.task
    async def _pull(self) -> None:
        while not self.should_stop:
            peers = self.standing.peers_to_pull()
            await asyncio.gather(*(self._pull_from(peer) for peer in peers))
            await self.sleep(RETRY_S * (0.5 + random.random()))

    async def _establish(self) -> None:
        """Found the fleet or find its roster, and learn whether this is new."""
        founding = Founding(self.member, await self._founders())
        while not self.should_stop and founding.next_call() is not None:
            reply = await self._carry_out(founding.next_call())
            if reply is None:
                await self.sleep(RETRY_S)
                continue
            founding.take(reply)
        first = founding.roster.at(1) if founding.first_start else None
        if first is not None:
            self.standing.found(founding.roster, first)
        _log.info("records_established", first_start=founding.first_start)

    async def _carry_out(self, call: StoreCall) -> StoreReply | None:
        try:
            if call.action == "create":
                await self._store.compare_and_swap(call.key, 0, call.value)
                return StoreReply("created")
            value = await self._store.get(call.key)
        except VersionConflict:
            return StoreReply("exists")
        except StoreOutcomeUnknown:
            return StoreReply("unclear")
        except StoreError:
            return None
        return StoreReply("found", value.data) if value else StoreReply("absent")

    async def _founders(self) -> tuple[Member, ...]:
        """Return the listed hosts once the list has settled or a roster exists."""
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
            named = any(host.host == self.member.host for host in listed)
            settled = time.monotonic() - since >= FOUNDING_SETTLE_S
            if settled and named and len(listed) >= QUORUM:
                break
            await self.sleep(RETRY_S)
        return tuple(
            Member(each.host, each.data_centre, "", each.control_address)
            for each in listed
        )

    async def _read_roster(self) -> None:
        asked_at = time.monotonic()
        try:
            value = await self._store.get(ROSTER_KEY)
        except StoreError:
            self._store_down = True
            raise
        self._store_down = False
        if value is None:
            return
        self._store_version = value.version
        self._publish(decode_roster(value.data))
        self.standing.confirm(asked_at)

    def _publish(self, roster: Roster) -> None:
        self.standing.adopt(roster)
        self._topics.publish(Topic(ROSTER_TOPIC, roster.version, encode_roster(roster)))

    def _needs_change(self) -> bool:
        return self.standing.roster is None or not self.standing.standing().version

    async def _change_roster(self) -> None:
        """Admit this process, or remove a host that has gone; one change a call."""
        roster = self.standing.roster
        if roster is None:
            return
        if self._needs_change():
            if self.member.address:
                await self._write_roster(roster.with_member(self.member))
            return
        gone = await self._gone_host(roster)
        if gone:
            await self._write_roster(roster.without_host(gone))

    async def _write_roster(self, roster: Roster) -> None:
        try:
            await self._store.compare_and_swap(
                ROSTER_KEY, self._store_version, encode_roster(roster)
            )
        except (VersionConflict, StoreOutcomeUnknown):
            # The next read shows which change was made.
            return
        _log.info("roster_changed", version=roster.version)
        await self._read_roster()

    async def _gone_host(self, roster: Roster) -> str:
        listed = {host.host for host in await self._host_list.read()}
        now = time.monotonic()
        absent = {each.host for each in roster.members} - listed
        self._absent_since = {
            host: self._absent_since.get(host, now) for host in absent
        }
        gone = [
            host
            for host, since in sorted(self._absent_since.items())
            if now - since >= REMOVAL_DELAY_S
        ]
        if gone and rendezvous_rank(gone[0], listed)[:1] == [self.member.host]:
            return gone[0]
        return ""

    async def _pull_from(self, peer: Member) -> None:
        cursor = 0
        while not self.should_stop:
            try:
                connection = await self._pool.connect(peer.address)
                if peer.process not in ("", connection.remote.process_id):
                    return
                frame = transfer_frame(self.member.host, cursor)
                answer = await connection.request(frame)
                page = read_page(answer.body.records)
            except (PeerUnavailable, FrameError):
                return
            if not self.ledger.receive(page, peer.host, time.monotonic()):
                _log.error("records_full", peer=peer.host, records=len(self.ledger))
                return
            cursor = page.following
            if not cursor:
                return

    async def _confirm_by_peers(self) -> None:
        """Confirm the roster when a majority of data centres cannot reach the store.

        One host of each data centre is asked; nobody can then have changed the
        roster.
        """
        roster = self.standing.roster
        if roster is None:
            return
        asked_at = time.monotonic()
        by_centre: dict[str, list[Member]] = {}
        for each in roster.members:
            by_centre.setdefault(each.data_centre, []).append(each)
        by_centre.pop(self.member.data_centre, None)
        chosen = [random.choice(members) for members in by_centre.values()]
        agreeing = await asyncio.gather(*(self._agrees(peer) for peer in chosen))
        if 2 * (1 + sum(agreeing)) > 1 + len(by_centre):
            self.standing.confirm(asked_at)

    async def _agrees(self, peer: Member) -> bool:
        try:
            answer = await self._pool.request(peer.address, transfer_frame("", 0))
        except (PeerUnavailable, FrameError):
            return False
        content = answer.body.records
        standing = PeerStanding(content.rosterVersion, content.base)
        return content.storeDown and standing.version == self.standing.roster.version
