"""Deterministic simulation of hosts, servers and a store, for the ownership tests.

Each process has its own clock with drift. A frozen process buffers its input and
handles it when it resumes; its clock keeps advancing. Faults are injected through
attributes and methods of :class:`Simulation`.
"""

import heapq
import random
from collections import Counter
from itertools import count
from typing import Any, NamedTuple

from jacinthpath.authority import AuthorityTracker
from jacinthpath.configuration import Endpoint
from jacinthpath.coordination import Coordinator
from jacinthpath.coordination_events import (
    AuthorityExtended,
    AuthorityGained,
    AuthorityLost,
    EpochSeen,
    GrantAnswered,
    LoadsChanged,
    PublishTable,
    ReleaseRequested,
    ReleaseRole,
    SendGrant,
    ServersChanged,
    TableCopied,
    TableWritten,
    Tick,
    WriteTable,
)
from jacinthpath.grant_messages import (
    decode_answer,
    decode_grant,
    encode_answer,
    encode_grant,
)
from jacinthpath.grants import GrantHolder
from jacinthpath.leases import LEASE_TTL_S, LeaseCall, LeaseResult, LeaseView
from jacinthpath.slices import NO_OWNER
from jacinthpath.vouches import VouchLedger, round_of

SERVICE = "preview"
SLICES = 8
TICK_S = 0.025
MIN_UPTIME_S = 4.0
# Keys that tests place separately; all three are in slices that also hold other keys.
HOT_KEYS = (5, 1 << 61, (1 << 61) + 9)
DATA_CENTRES = ("d1", "d2", "d3", "d4")


class Unit(NamedTuple):
    kind: str
    index: int


class Move(NamedTuple):
    unit: Unit
    target: str


class Plan(NamedTuple):
    moves: tuple[Move, ...] = ()
    splits: dict = {}
    merges: tuple = ()
    urgent: bool = False


def simple_planner(table, servers, loads):
    """Replace lost owners, else move one slice from the fullest server."""
    usable = sorted(name for name, e in servers.items() if e.state == "active")
    if not usable:
        return Plan()
    held = Counter({name: 0 for name in usable})
    held.update(owner for owner in table.owners if owner in usable)
    moves = []
    for index, owner in enumerate(table.owners):
        if owner not in usable:
            target = min(usable, key=lambda name: (held[name], name))
            held[target] += 1
            moves.append(Move(Unit("slice", index), target))
    for key, owner in table.hot_keys.items():
        if owner not in usable:
            moves.append(Move(Unit("key", key), usable[0]))
    if moves:
        return Plan(tuple(moves), urgent=True)
    hot_plan = plan_hot_keys(table, usable, loads or {})
    if hot_plan != Plan():
        return hot_plan
    fullest = max(usable, key=lambda name: (held[name], name))
    emptiest = min(usable, key=lambda name: (held[name], name))
    if held[fullest] - held[emptiest] < 2:
        return Plan()
    return Plan((Move(Unit("slice", table.owners.index(fullest)), emptiest),))


def plan_hot_keys(table, usable, wanted):
    """Place the wanted keys separately, and merge others into their slice."""
    splits, merges, moves = {}, [], []
    plain = table._replace(hot_keys={})
    for key, server in wanted.items():
        if key not in table.hot_keys:
            splits[key] = table.owner_of(key)
        elif server in usable and table.hot_keys[key] != server:
            moves.append(Move(Unit("key", key), server))
    for key in table.hot_keys.keys() - wanted.keys():
        if table.hot_keys[key] == plain.owner_of(key):
            merges.append(key)
        else:
            moves.append(Move(Unit("key", key), plain.owner_of(key)))
    return Plan(tuple(moves), splits, tuple(merges))


def table_order(table):
    return (table.epoch, table.version) if table else (-1, -1)


class Process:
    """A process with a clock, an inbox that is kept during a freeze, and faults."""

    def __init__(self, simulation, name, data_centre):
        self.simulation = simulation
        self.name = name
        self.data_centre = data_centre
        self.clock_rate = 1 + simulation.random.uniform(-0.002, 0.002)
        self.clock_offset = simulation.random.uniform(1000, 9000)
        self.frozen = False
        self.ended_at = None
        self.started_at = simulation.now
        self.pause_at_send = ""
        self.inbox = []
        self.outbox = []

    @property
    def alive(self):
        return self.ended_at is None

    @alive.setter
    def alive(self, alive):
        if not alive and self.ended_at is None:
            self.ended_at = self.simulation.now

    @property
    def clock(self):
        return self.clock_offset + self.simulation.now * self.clock_rate

    def send(self, target, message):
        if self.pause_at_send in (target, "any"):
            self.frozen = True
        if self.frozen:
            self.outbox.append((target, message))
        else:
            self.simulation.send(self, target, message)

    def deliver(self, sender, message):
        if not self.alive:
            return
        if self.frozen:
            self.inbox.append((sender, message))
        else:
            self.receive(sender, message)

    def wake(self):
        self.frozen, self.pause_at_send = False, ""
        outbox, self.outbox = self.outbox, []
        for target, message in outbox:
            self.simulation.send(self, target, message)
        inbox, self.inbox = self.inbox, []
        for sender, message in inbox:
            self.deliver(sender, message)


class Server(Process):
    def __init__(self, simulation, name, data_centre, incarnation):
        super().__init__(simulation, name, data_centre)
        self.holder = GrantHolder(SERVICE, incarnation)

    @property
    def clock_ms(self):
        return int(self.clock * 1000)

    def receive(self, sender, message):
        answer = self.holder.receive(decode_grant(message), self.clock_ms)
        # A second owner can only appear when a grant is handled.
        self.simulation.check()
        self.send(sender, ("answer", self.name, encode_answer(answer)))

    def owned(self):
        return self.holder.owned_slices(self.clock_ms) if self.alive else ()

    def owned_hot_keys(self):
        if not self.alive:
            return ()
        return [key for key in HOT_KEYS if self.holder.owns(key, self.clock_ms)]


class Host(Process):
    def __init__(self, simulation, name, data_centre, identity, age_s):
        super().__init__(simulation, name, data_centre)
        started = self.clock - age_s
        self.ledger = VouchLedger(started, MIN_UPTIME_S)
        self.tracker = AuthorityTracker(
            SERVICE, identity, DATA_CENTRES, started, min_uptime_s=MIN_UPTIME_S
        )
        self.coordinator = Coordinator(
            SERVICE,
            simple_planner,
            data_centre=data_centre,
            data_centres=DATA_CENTRES,
            slice_count=SLICES,
        )
        self.table = None
        self.active_holder = ""
        self.recovered = []  # Holder of the candidacy, then the tables found.
        self.store_read = ""
        self.wanted = True
        self.handle(ServersChanged(simulation.listed_servers()))
        self.handle(LoadsChanged(dict(simulation.wanted_hot_keys)))

    def tick(self):
        self.tracker.update_hosts(self.simulation.listed_hosts(), self.clock)
        jitter = self.simulation.random.random()
        requests = self.tracker.tick(self.clock, jitter, wanted=self.wanted)
        self.handle(Tick())
        self.dispatch(requests)
        self.sync()

    def dispatch(self, requests):
        for request in requests:
            if isinstance(request, LeaseCall):
                self.send("store", ("lease", request))
            else:
                if request.kind == "inquire" and self.recovered[:1] != [request.holder]:
                    self.recovered = [request.holder, self.table]
                self.send(request.host, ("vouch", request))

    def receive(self, sender, message):
        kind, *parts = message
        getattr(self, f"on_{kind}")(sender, *parts)
        self.sync()

    def on_vouch(self, sender, request):
        reachable = self.simulation.is_store_reachable(self)
        answer = self.ledger.answer(request, self.clock, store_reachable=reachable)
        self.send(sender, ("vouched", request, answer, self.table))

    def on_vouched(self, sender, request, answer, table):
        if self.recovered[:1] == [request.holder]:
            self.recovered.append(table)
        self.tracker.handle_vouch_answer(request, answer, self.clock)

    def on_leased(self, sender, call, result):
        self.tracker.handle_lease_result(call, result, self.clock)

    def on_answer(self, sender, server, document):
        self.handle(GrantAnswered(server, decode_answer(document)))

    def on_written(self, sender, table):
        self.handle(TableWritten(table.epoch, table.version))

    def on_read(self, sender, active_holder, table):
        if active_holder == self.active_holder:
            self.recovered.append(table)
            self.store_read = active_holder

    def on_keep(self, sender, holder, table):
        if not self.ledger.may_keep(SERVICE, holder, self.clock):
            return
        if self.keep(table):
            self.send(sender, ("kept", table, self.data_centre))

    def on_kept(self, sender, table, data_centre):
        self.handle(TableCopied(table.epoch, table.version, data_centre))

    def on_publish(self, sender, table):
        self.keep(table)

    def keep(self, table):
        if table_order(table) < table_order(self.table):
            return False
        self.table = table
        self.ledger.record_epoch(SERVICE, table.epoch, self.clock)
        self.tracker.record_epoch(table.epoch)
        return True

    def sync(self):
        """Report every change of authority to the coordinator at once."""
        authority = self.tracker.authority(self.clock)
        holder = self.tracker.holder if authority else ""
        if holder != self.active_holder:
            if self.coordinator.acting:
                self.handle(AuthorityLost())
            self.active_holder = holder
            self.store_read = ""
        if authority is None:
            return
        if self.coordinator.acting:
            self.handle(AuthorityExtended(authority.epoch, authority.end))
            return
        was_read = self.store_read == holder
        if not was_read and round_of(authority.epoch) == 0:
            self.send("store", ("read", holder))
            return
        table = max(self.recovered[1:], key=table_order, default=None)
        certain = was_read or (table is not None and round_of(table.epoch) > 0)
        self.simulation.check_recovered_table(self, table, certain)
        inherited = authority.inherited_terms_end
        self.handle(
            AuthorityGained(authority.epoch, authority.end, inherited, table, certain)
        )

    def handle(self, event):
        for effect in self.coordinator.handle(event, self.clock):
            self.carry_out(effect)

    def carry_out(self, effect):
        if isinstance(effect, SendGrant):
            self.send(effect.server, encode_grant(effect.grant))
        elif isinstance(effect, WriteTable):
            self.keep(effect.table)
            self.simulation.created_at.setdefault(
                table_order(effect.table), self.simulation.now
            )
            self.send("store", ("write", effect.table))
            for host in self.simulation.hosts.values():
                if host is not self:
                    message = ("keep", self.tracker.holder, effect.table)
                    self.send(host.name, message)
        elif isinstance(effect, PublishTable):
            self.simulation.record_acknowledged(effect.table)
            for host in self.simulation.hosts.values():
                self.send(host.name, ("publish", effect.table))
        elif isinstance(effect, EpochSeen):
            self.tracker.record_epoch(effect.epoch)
        elif isinstance(effect, ReleaseRole):
            self.dispatch(self.tracker.release(self.clock, effect.terms_end))


class Store(Process):
    """The platform's store: a lease, a generation record and the table."""

    def __init__(self, simulation):
        super().__init__(simulation, "store", "store")
        self.holder, self.expires = "", 0.0
        self.revision, self.generation, self.raised_by, self.term_left_ms = 0, 0, "", 0
        self.table = None

    def receive(self, sender, message):
        kind, value = message
        if self.simulation.store_down:
            if kind == "lease":
                self.send(sender, ("leased", value, LeaseResult("unavailable")))
            return
        if kind == "lease":
            result = getattr(self, f"do_{value.kind}")(value)
            self.send(sender, ("leased", value, result))
        elif kind == "read":
            self.send(sender, ("read", value, self.table))
        elif table_order(value) >= table_order(self.table):
            self.table = value
            self.send(sender, ("written", value))

    def live_holder(self):
        return self.holder if self.simulation.now < self.expires else ""

    def view(self):
        return LeaseView(
            self.revision,
            self.generation,
            self.raised_by,
            self.live_holder(),
            self.term_left_ms,
        )

    def do_read(self, call):
        return LeaseResult("done", self.view())

    def do_acquire(self, call):
        if self.live_holder() not in ("", call.identity):
            return LeaseResult("conflict")
        self.holder, self.expires = call.identity, self.simulation.now + LEASE_TTL_S
        return LeaseResult("done")

    def do_raise(self, call):
        if self.revision != call.revision or self.live_holder() != call.identity:
            return LeaseResult("conflict")
        self.revision += 1
        self.generation, self.raised_by = call.generation, call.identity
        self.term_left_ms = 0
        return LeaseResult("done")

    def do_renew(self, call):
        if self.live_holder() != call.identity:
            return LeaseResult("conflict")
        self.expires = self.simulation.now + LEASE_TTL_S
        return LeaseResult("done")

    def do_release(self, call):
        if self.live_holder() == call.identity:
            self.revision += 1
            self.term_left_ms = call.term_left_ms
            self.expires = 0.0
        return LeaseResult("done")


class Simulation:
    def __init__(self, seed=1, hosts_per_centre=1, servers=3):
        self.random = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.order = count()
        self.incarnations = count(1)
        self.store_down = False
        self.cuts = set()
        self.loss = 0.0
        self.duplication = 0.0
        self.delayed = 0.0
        self.hosts: dict[str, Host] = {}
        self.servers: dict[str, Server] = {}
        self.zombies: list[Server] = []
        self.draining: set[str] = set()
        self.wanted_hot_keys: dict[int, str] = {}
        self.newest_acknowledged: Any = None
        self.created_at: dict[Any, float] = {}
        self.unserved_since = 0.0
        self.longest_gap = 0.0
        self.store = Store(self)
        for index in range(servers):
            self.start_server(f"s{index + 1}", DATA_CENTRES[index % len(DATA_CENTRES)])
        for centre in DATA_CENTRES:
            for letter in "abcdef"[:hosts_per_centre]:
                self.start_host(f"{centre}{letter}", centre, age_s=100.0)

    # Processes

    def start_server(self, name, centre):
        incarnation = f"{name}-{next(self.incarnations)}"
        self.servers[name] = Server(self, name, centre, incarnation)

    def start_host(self, name, centre, age_s=0.0):
        identity = f"{name}-{next(self.incarnations)}"
        self.hosts[name] = Host(self, name, centre, identity, age_s)
        delay = self.random.uniform(0, TICK_S)
        self.schedule(self.now + delay, ("tick", self.hosts[name]))

    def restart(self, name):
        """Start a new process; a frozen old one remains as a zombie."""
        old = self.process(name)
        if isinstance(old, Server):
            if old.frozen and old.alive:
                self.zombies.append(old)
            else:
                old.alive = False
            self.start_server(name, old.data_centre)
        else:
            old.alive = False
            self.start_host(name, old.data_centre)

    def process(self, name):
        if name == "store":
            return self.store
        return self.hosts.get(name) or self.servers[name]

    def coordinator(self):
        acting = [h for h in self.hosts.values() if self.is_coordinator(h)]
        return max(acting, key=lambda host: host.coordinator._epoch, default=None)

    def is_coordinator(self, host):
        live = host.alive and not host.frozen and host.coordinator.acting
        return live and host.clock < host.coordinator._authority_end

    def listed_hosts(self):
        return {name: host.data_centre for name, host in self.hosts.items()}

    def listed_servers(self):
        return {
            name: Endpoint(
                name,
                f"{name}:1",
                server.data_centre,
                "draining" if name in self.draining else "active",
            )
            for name, server in self.servers.items()
        }

    def servers_changed(self):
        for host in self.hosts.values():
            if host.alive and not host.frozen:
                host.handle(ServersChanged(self.listed_servers()))
                host.handle(LoadsChanged(dict(self.wanted_hot_keys)))

    def release(self, host):
        host.wanted = False
        host.handle(ReleaseRequested())
        host.sync()

    # Network

    def cut(self, left, right):
        for a in left:
            self.cuts |= {(a, b) for b in right} | {(b, a) for b in right}

    def heal(self):
        self.cuts = set()

    def names_in(self, *centres):
        names = {**self.hosts, **self.servers}
        return [name for name in names if names[name].data_centre in centres]

    def is_connected(self, a, b):
        return (a, b) not in self.cuts

    def is_store_reachable(self, host):
        return not self.store_down and self.is_connected(host.name, "store")

    def send(self, sender, target, message):
        if not self.is_connected(sender.name, target):
            if not self.is_relayed(sender.name, target, message):
                return
        copies = 1 + (self.random.random() < self.duplication)
        for _ in range(copies):
            if self.random.random() < self.loss:
                continue
            delay = self.random.uniform(0.0005, 0.003)
            if self.random.random() < self.delayed:
                delay = self.random.uniform(0.05, 1.5)
            self.schedule(self.now + delay, ("message", sender.name, target, message))

    def is_relayed(self, sender, target, message):
        """Whether a store call or its answer goes through another host."""
        if "store" not in (sender, target):
            return False
        if message[0] in ("lease", "leased") and not message[1].relay:
            return False
        return any(
            host.alive
            and not host.frozen
            and self.is_connected(sender, host.name)
            and self.is_connected(host.name, target)
            for host in self.hosts.values()
        )

    # Time

    def schedule(self, time, event):
        heapq.heappush(self.events, (time, next(self.order), event))

    def run_for(self, duration_s):
        end = self.now + duration_s
        sample = self.now
        while self.events and self.events[0][0] <= end:
            if self.events[0][0] >= sample:
                self.now = sample
                sample += 0.01
                self.check()
                continue
            self.now, _, event = heapq.heappop(self.events)
            self.step(event)
        self.now = end
        self.check()

    def step(self, event):
        if event[0] == "tick":
            host = event[1]
            if not host.alive:
                return
            if not host.frozen:
                host.tick()
            self.schedule(self.now + TICK_S, event)
            return
        _, sender, target, message = event
        self.process(target).deliver(sender, message)

    # Checks

    def check(self):
        """Check that no key has two owners, by the servers' own clocks."""
        owners: dict[int, Server] = {}
        key_owners: dict[int, Server] = {}
        for server in (*self.servers.values(), *self.zombies):
            for index in server.owned():
                self.check_single_owner(owners.setdefault(index, server), server, index)
            for key in server.owned_hot_keys():
                self.check_single_owner(key_owners.setdefault(key, server), server, key)
        if len(owners) == SLICES:
            self.unserved_since = self.now
        self.longest_gap = max(self.longest_gap, self.now - self.unserved_since)

    def check_single_owner(self, owner, server, item):
        if owner is not server:
            names = f"{owner.holder.incarnation}, {server.holder.incarnation}"
            raise TwoOwners(f"{item} at {self.now:.3f} s: {names}")

    def record_acknowledged(self, table):
        if table_order(table) > table_order(self.newest_acknowledged):
            self.newest_acknowledged = table

    def check_recovered_table(self, host, table, certain):
        """Check that a recovery certain of its table has the newest acknowledged one.

        A table that only hosts store survives the loss of one data centre.
        """
        newest = table_order(self.newest_acknowledged)
        if not certain or table_order(table) >= newest:
            return
        in_store = table_order(self.store.table) >= newest
        if in_store or len(self.data_centres_lost_since(self.created_at[newest])) < 2:
            raise LostAssignment(f"{host.name} at {self.now:.3f} s")

    def data_centres_lost_since(self, time):
        """Return the data centres that lost a host process since a time."""
        return {
            host.data_centre
            for host in self.hosts.values()
            if host.started_at > time or (not host.alive and host.ended_at > time)
        }

    def is_served(self):
        servers = self.servers.values()
        slices = sum(len(server.owned()) for server in servers)
        keys = sum(len(server.owned_hot_keys()) for server in servers)
        return slices == SLICES and keys == len(HOT_KEYS)

    def longest_gap_during(self, duration_s):
        """Run, and return the longest time that any slice had no owner."""
        self.unserved_since = self.now
        self.longest_gap = 0.0
        self.run_for(duration_s)
        return self.longest_gap

    def owner_names(self):
        table = self.newest_acknowledged
        return set(table.owners) - {NO_OWNER} if table else set()


class Violation(AssertionError):
    """An invariant was violated."""


class TwoOwners(Violation):
    """Two processes may serve the same slice at one time."""


class LostAssignment(Violation):
    """A successor that is certain of its table missed an acknowledged one."""


__all__ = [
    "DATA_CENTRES",
    "HOT_KEYS",
    "SLICES",
    "Simulation",
    "Violation",
    "simple_planner",
]
