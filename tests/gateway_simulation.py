"""Leaders, a store and servers of a keyed service on a virtual clock.

The leaders are the product's own :class:`Assigner` objects; the store and the servers
behave as the platform's pages say, including what goes wrong there: unanswered and
late orders, slow clocks, lost answers of the store, leaders cut off, and servers that
start again under their id.
"""

import asyncio
import json
from random import Random

from jacinthpath.errors import StoreOutcomeUnknown, StoreUnavailable
from jacinthpath.gateway.assigner import Assigner
from jacinthpath.gateway.assignment import LeaderProcess, range_move_id
from jacinthpath.gateway.authority import LeaderAuthority
from jacinthpath.gateway.cluster_view import ASSIGNMENT_KEY, LEADER_KEY
from jacinthpath.gateway.loads import LoadAggregator
from jacinthpath.gateway.model import KEY_COUNT, Backend, RouteTable, Service, Timing
from jacinthpath.gateway.route_index import RouteIndex
from jacinthpath.gateway.server_commands import CommandResponse, CommandResult
from jacinthpath.gateway.store import ConflictingWrite, Item

SERVICE = "preview"
TTL_S = 1.2
DRIFT = 1.02
TIMING = Timing(2.0, 6.0, 10.0, 10.0, 0.2, 58)


class NullEventLog:
    """Takes events and drops them."""

    def __getattr__(self, _name):
        return lambda *_args, **_fields: None


class WorldStore:
    """The conditional writes of the platform's store."""

    def __init__(self, world):
        self.world = world
        self.revision = 10
        self.items = {}

    def put(self, key, value):
        self.revision += 1
        self.items[key] = Item(key, value, self.revision)
        return self.revision

    def write(self, conditions, writes):
        for key, revision in conditions:
            found = self.items.get(key)
            if (found.revision if found else 0) != revision:
                current = [self.items[k] for k, _ in conditions if k in self.items]
                raise ConflictingWrite(tuple(current))
        for write in writes:
            self.put(write.key, write.value)
        return self.revision


class LeaderStore:
    """The store as one leader reaches it."""

    def __init__(self, world, leader):
        self.world, self.leader = world, leader

    async def read(self, key):
        self._reach()
        return self.world.store.items.get(key)

    async def write(self, conditions, writes):
        self._reach()
        if self.world.random.random() < self.world.lost_writes:
            if self.world.random.random() < 0.5:
                try:
                    self.world.store.write(conditions, writes)
                except ConflictingWrite:
                    pass
            raise StoreOutcomeUnknown("lost", "")
        return self.world.store.write(conditions, writes)

    def _reach(self):
        if self.leader.cut:
            raise StoreUnavailable("cut", "")


class WorldServer:
    """One life of a server, with what it holds and the fences it has seen."""

    def __init__(self, world, server, born_ms):
        self.world, self.server, self.born_ms = world, server, born_ms
        self.up = True
        self.holds = {}
        self.seen = {}
        self.reachable = True

    def grant(self, order, arrived_s):
        touched = [key for key in self.world.probes if order.first <= key <= order.last]
        if any(self.seen.get(key, 0) > order.fence for key in touched):
            return False
        drift = DRIFT if self.world.random.random() < 0.5 else 1.0
        for key in touched:
            if arrived_s + order.hold_s > self.world.now_s:
                # What is taken late and has run out by then gives nothing.
                self.world.check_fence(key, self, order.fence)
            self.seen[key] = order.fence
            self.holds[key] = arrived_s + order.hold_s * drift
        return True

    def release(self, order):
        for key in self.world.probes:
            if order.first <= key <= order.last:
                self.seen[key] = max(self.seen.get(key, 0), order.fence)
                self.holds.pop(key, None)

    def holds_key(self, key):
        return self.up and self.holds.get(key, -1.0) > self.world.now_s


class LeaderCommands:
    """Orders of one leader on their way to the servers."""

    def __init__(self, world, leader):
        self.world, self.leader = world, leader

    async def grant(self, server, _address, order, _timeout_s):
        return self._send(server, "grant", order)

    async def release(self, server, _address, order, _timeout_s):
        return self._send(server, "release", order)

    def _send(self, server, kind, order):
        world = self.world
        life = world.servers.get(server)
        if life is None or not life.up or (self.leader.name, server) in world.cuts:
            return CommandResponse(CommandResult.NOT_RUN, "", "refused")
        if world.random.random() < world.late_orders:
            delay_s = 0.5 + 6 * world.random.random()
            world.late.append((world.now_s + delay_s, world.now_s, life, kind, order))
            return CommandResponse(CommandResult.UNKNOWN, "", "no answer")
        if kind == "release":
            life.release(order)
            return CommandResponse(CommandResult.DONE, "handover", "")
        taken = life.grant(order, world.now_s)
        result = CommandResult.DONE if taken else CommandResult.FENCED
        if taken and world.random.random() < world.late_orders:
            result = CommandResult.UNKNOWN
        return CommandResponse(result, "", "")


class Directory:
    def __init__(self, world):
        self.world = world

    def all(self):
        return {
            server: Backend(
                server, SERVICE, f"{server}:1", "a", 3, False, 0.0, life.born_ms, 1
            )
            for server, life in self.world.servers.items()
            if life.up and server in self.world.listed
        }

    def find(self, server):
        return self.all().get(server)

    def servers_of(self, _service):
        return [*self.all().values()]


class LeaderView:
    """What one leader believes; it reads the written assignment by itself."""

    def __init__(self, world):
        from jacinthpath.gateway.assignment import EMPTY_ASSIGNMENT

        service = Service(SERVICE, True, 100, "/health", 3.0)
        self.routes = RouteIndex(RouteTable(1, (), {SERVICE: service}, None))
        self.directory = Directory(world)
        self.assignment = EMPTY_ASSIGNMENT
        self.assignment_revision = 0
        self.moving_since_s = {}
        self.world = world

    def apply_assignment(self, content, revision, _source):
        from jacinthpath.gateway.assignment import decode_assignment

        if revision > self.assignment_revision:
            self.assignment = decode_assignment(content)
            self.assignment_revision = revision
            self.moving_since_s = {
                key: self.moving_since_s.get(key, self.world.now_s)
                for key in (
                    range_move_id(service, owned)
                    for service, ranges in self.assignment.ranges.items()
                    for owned in ranges
                    if owned.target
                )
            }


class WorldLeadership:
    authority = None
    record_revision = 0

    def step_down(self, _reason):
        self.authority = None


class Leader:
    def __init__(self, world, name):
        self.world, self.name = world, name
        self.cut = False
        self.silent = False
        self.lease_until_s = 0.0
        self.ends_s = 0.0
        self.leadership = WorldLeadership()
        self.view = LeaderView(world)
        self.assigner = Assigner(
            LeaderStore(world, self),
            self.view,
            self.leadership,
            LeaderCommands(world, self),
            LoadAggregator(),
            TIMING,
            NullEventLog(),
            NullEventLog(),
            LeaderProcess(name, name),
            self.has_stopped_leading,
            lambda: world.now_s,
        )

    async def has_stopped_leading(self, former):
        """Ask another leader, as a peer would."""
        other = next(one for one in self.world.leaders if one.name == former.address)
        if (self.name, other.name) in self.world.cuts or other.silent:
            return False
        return other.leadership.authority is None


class Simulation:
    """Everything together; :attr:`now_s` is the boot clock of all."""

    def __init__(self, seed, late_orders=0.0, lost_writes=0.0):
        self.random = Random(seed)
        self.now_s = 1_000.0
        self.late_orders = late_orders
        self.lost_writes = lost_writes
        self.probes = [*range(0, KEY_COUNT, 2_731), KEY_COUNT - 1]
        self.store = WorldStore(self)
        self.servers = {}
        self.listed = set()
        self.cuts = set()
        self.late = []
        self.fences = {}
        self.broken = []
        self.born_ms = 1
        for index in range(4):
            self.start_server(f"s{index}")
        self.leaders = [Leader(self, f"l{index}") for index in range(3)]

    def start_server(self, server):
        self.born_ms += 1
        self.servers[server] = WorldServer(self, server, self.born_ms)
        self.listed.add(server)

    def stop_server(self, server):
        self.servers[server].up = False

    def check_fence(self, key, life, fence):
        """A key goes to another server only with a fence above all before."""
        highest, holder = self.fences.get(key, (0, None))
        if holder is not life and fence <= highest and holder is not None:
            if holder.server != life.server:
                self.broken.append(f"key {key}: fence {fence} after {highest}")
        if fence >= highest:
            self.fences[key] = (fence, life)

    def check_owners(self):
        for key in self.probes:
            holders = [s.server for s in self.servers.values() if s.holds_key(key)]
            if len(holders) > 1:
                self.broken.append(f"key {key} at {self.now_s:.2f}: {holders}")

    def holder(self, key):
        return next((s for s in self.servers.values() if s.holds_key(key)), None)

    async def step(self, span_s=0.1):
        """Let time pass and every leader act once."""
        self.now_s += span_s
        self._apply_late()
        self._run_leases()
        self.check_owners()
        item = self.store.items.get(ASSIGNMENT_KEY)
        for leader in self.leaders:
            if item is not None and not leader.cut:
                leader.view.apply_assignment(item.value, item.revision, "store")
            try:
                await leader.assigner.act()
            except (StoreUnavailable, StoreOutcomeUnknown, ConflictingWrite):
                pass
            except Exception as error:
                if type(error).__name__ != "StoreError":
                    raise
            tasks = [*leader.assigner._runner.tasks]
            if tasks:
                await asyncio.gather(*tasks)
            self.check_owners()

    def _apply_late(self):
        due = [entry for entry in self.late if entry[0] <= self.now_s]
        self.late = [entry for entry in self.late if entry[0] > self.now_s]
        for _, arrived_s, life, kind, order in due:
            if life.up and kind == "grant":
                life.grant(order, arrived_s)
            elif life.up:
                life.release(order)
        self.check_owners()

    def _run_leases(self):
        """Renew, end and win leases as the leadership service does."""
        for leader in self.leaders:
            authority = leader.leadership.authority
            if authority is None:
                continue
            if authority.resigning:
                self._run_resignation(leader)
                continue
            record = self.store.items.get(LEADER_KEY)
            mine = record and record.revision == leader.leadership.record_revision
            if not leader.cut and mine:
                leader.lease_until_s = self.now_s + TTL_S
                authority.confirm(self.now_s)
            elif not leader.cut or not authority.may_renew(self.now_s):
                leader.leadership.authority = None
            if mine and self.now_s >= leader.lease_until_s:
                del self.store.items[LEADER_KEY]
        record = self.store.items.get(LEADER_KEY)
        for leader in self.leaders:
            # The lease of a leader that stepped down runs out.
            held = record and record.revision == leader.leadership.record_revision
            if held and self.now_s >= leader.lease_until_s:
                self.store.items.pop(LEADER_KEY, None)
        if LEADER_KEY not in self.store.items:
            able = [
                leader
                for leader in self.leaders
                if not leader.cut and leader.leadership.authority is None
            ]
            if able:
                self._elect(self.random.choice(able))

    def resign(self, leader, grace_s=5.5):
        """Begin to give the leadership up; the process ends after ``grace_s``."""
        if leader.leadership.authority is not None:
            leader.leadership.authority.resigning = True
            leader.ends_s = self.now_s + grace_s

    def _run_resignation(self, leader):
        """End the lease when the store answers; stop once a successor is seen."""
        own = leader.leadership.record_revision
        record = self.store.items.get(LEADER_KEY)
        if record and record.revision == own:
            if not leader.cut or self.now_s >= leader.lease_until_s:
                del self.store.items[LEADER_KEY]
        succeeded = not leader.cut and record and record.revision > own
        authority = leader.leadership.authority
        if (
            succeeded
            or self.now_s >= leader.ends_s
            or not authority.may_renew(self.now_s)
        ):
            leader.leadership.authority = None

    def _elect(self, leader):
        record = json.dumps({"host": leader.name}).encode()
        leader.leadership.record_revision = self.store.put(LEADER_KEY, record)
        leader.lease_until_s = self.now_s + TTL_S
        leader.leadership.authority = LeaderAuthority(TTL_S, self.now_s)

    @property
    def written(self):
        item = self.store.items.get(ASSIGNMENT_KEY)
        return json.loads(item.value) if item else None
