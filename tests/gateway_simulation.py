"""Simulation of leaders, a store and servers of a keyed service on a virtual clock.

The leaders are real :class:`Assigner` objects. The store and the servers behave as the
platform's documentation says, including its faults: commands without a response, late
commands, slow clocks, lost responses of the store, leaders cut off from the store, and
servers that restart under their id.
"""

import asyncio
import json
from random import Random

from jacinthpath.errors import StoreOutcomeUnknown, StoreUnavailable
from jacinthpath.gateway.assigner import Assigner
from jacinthpath.gateway.assignment import (
    LeaderProcess,
    encode_assignment,
    range_move_id,
)
from jacinthpath.gateway.authority import LeaderAuthority
from jacinthpath.gateway.cluster_view import ASSIGNMENT_KEY, LEADER_KEY
from jacinthpath.gateway.evacuations import Evacuations
from jacinthpath.gateway.loads import LoadAggregator
from jacinthpath.gateway.loops import LoopSupervisor
from jacinthpath.gateway.model import KEY_COUNT, Backend, RouteTable, Service, Timing
from jacinthpath.gateway.reach_monitor import ReachMonitor
from jacinthpath.gateway.revisions import (
    era_of_revision,
    make_revision,
    store_revision_of,
)
from jacinthpath.gateway.route_index import RouteIndex
from jacinthpath.gateway.server_commands import CommandResponse, CommandResult
from jacinthpath.gateway.server_limits import ServerLimits
from jacinthpath.gateway.store import ConflictingWrite, Item
from jacinthpath.gateway.store_eras import EarlierGrants, StoreEras

SERVICE = "preview"
OTHER_SERVICE = "render"
TTL_S = 1.2
REGISTRATION_S = 2.0
"""Servers that registered since the copy was made register again within this time."""
DRIFT = 1.02
TIMING = Timing(2.0, 6.0, 10.0, 10.0, 0.2, 58)


class NullEventLog:
    """Discards events; also stands in for the metrics."""

    def __getattr__(self, _name):
        return lambda *_args, **_fields: None


class SimulatedStore:
    """The platform's store, with conditional writes and restores from older copies."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.era = 0
        self.revision = 10
        self.items = {}
        self.copies = []

    def keep_copy(self):
        """Keep a copy of the content, and the copies of the last seconds."""
        self.copies.append((self.revision, dict(self.items)))
        del self.copies[:-80]

    def restore(self, age_steps):
        """Come back from the copy made ``age_steps`` steps ago."""
        copy = self.copies[-min(age_steps, len(self.copies))]
        self.era += 1
        number, items = copy
        self.revision = store_revision_of(number)
        self.items = {
            key: item._replace(
                revision=make_revision(self.era, store_revision_of(item.revision))
            )
            for key, item in items.items()
        }

    def put(self, key, value):
        self.revision += 1
        revision = make_revision(self.era, self.revision)
        self.items[key] = Item(key, value, revision)
        return revision

    def write(self, conditions, writes):
        for key, revision in conditions:
            found = self.items.get(key)
            if revision and era_of_revision(revision) != self.era:
                raise ConflictingWrite(())
            if (found.revision if found else 0) != revision:
                current = [self.items[k] for k, _ in conditions if k in self.items]
                raise ConflictingWrite(tuple(current))
        for write in writes:
            self.put(write.key, write.value)
        return make_revision(self.era, self.revision)


class LeaderStore:
    """The store as seen by one leader."""

    def __init__(self, simulation, leader):
        self.simulation, self.leader = simulation, leader

    async def read(self, key):
        self._check_reachable()
        return self.simulation.store.items.get(key)

    async def write(self, conditions, writes):
        self._check_reachable()
        if self.simulation.random.random() < self.simulation.lost_write_rate:
            if self.simulation.random.random() < 0.5:
                try:
                    self.simulation.store.write(conditions, writes)
                except ConflictingWrite:
                    pass
            raise StoreOutcomeUnknown("lost", "")
        return self.simulation.store.write(conditions, writes)

    def _check_reachable(self):
        if self.leader.cut_off:
            raise StoreUnavailable("cut", "")


class ServerProcess:
    """One incarnation of a server, with its grants and the highest fences by key."""

    def __init__(self, simulation, server, started_ms, service):
        self.simulation, self.server, self.started_ms = simulation, server, started_ms
        self.service = service
        self.registered_step = simulation.steps
        self.listed_since_s = float("-inf")
        self.up = True
        self.grant_ends_s = {}
        self.highest_fences = {}
        self.reachable = True

    def grant(self, command, sent_s):
        keys = [
            key
            for key in self.simulation.sampled_keys
            if command.first <= key <= command.last
        ]
        if any(self.highest_fences.get(key, 0) > command.fence for key in keys):
            return False
        drift = DRIFT if self.simulation.random.random() < 0.5 else 1.0
        for key in keys:
            if sent_s + command.hold_s > self.simulation.now_s:
                # A late grant that has already expired does not make an owner.
                self.simulation.check_fence(key, self, command.fence)
            self.highest_fences[key] = command.fence
            self.grant_ends_s[key] = sent_s + command.hold_s * drift
        return True

    def release(self, command):
        for key in self.simulation.sampled_keys:
            if command.first <= key <= command.last:
                self.highest_fences[key] = max(
                    self.highest_fences.get(key, 0), command.fence
                )
                self.grant_ends_s.pop(key, None)

    def holds_key(self, key):
        return self.up and self.grant_ends_s.get(key, -1.0) > self.simulation.now_s


class LeaderCommands:
    """Commands of one leader in transit to the servers."""

    def __init__(self, simulation, leader):
        self.simulation, self.leader = simulation, leader

    async def grant(self, server, _address, command, _timeout_s):
        return self._send(server, "grant", command)

    async def release(self, server, _address, command, _timeout_s):
        return self._send(server, "release", command)

    def _send(self, server, kind, command):
        simulation = self.simulation
        process = simulation.servers.get(server)
        if (
            process is None
            or not process.up
            or (self.leader.name, server) in simulation.blocked_paths
        ):
            return CommandResponse(CommandResult.NOT_RUN, "", "refused")
        if simulation.random.random() < simulation.late_command_rate:
            delay_s = 0.5 + 6 * simulation.random.random()
            simulation.pending_commands.append(
                (simulation.now_s + delay_s, simulation.now_s, process, kind, command)
            )
            return CommandResponse(CommandResult.UNKNOWN, "", "no response")
        if kind == "release":
            process.release(command)
            return CommandResponse(CommandResult.DONE, "handover", "", True)
        accepted = process.grant(command, simulation.now_s)
        if simulation.random.random() < simulation.lost_grant_rate:
            return CommandResponse(CommandResult.UNKNOWN, "", "no response")
        result = CommandResult.DONE if accepted else CommandResult.FENCED
        if accepted and simulation.random.random() < simulation.late_command_rate:
            result = CommandResult.UNKNOWN
        responded = result is not CommandResult.UNKNOWN
        return CommandResponse(result, "", "", responded)


class Directory:
    """The servers that a leader knows; after a restore some register later.

    :param first_era: era of the store in which the leader first had a list of servers.
    """

    def __init__(self, simulation, first_era):
        self.simulation = simulation
        self.first_era = first_era
        self.frozen_step = None

    def all(self):
        return {
            server: Backend(
                server,
                process.service,
                f"{server}:1",
                "a",
                3,
                False,
                0.0,
                process.started_ms,
                1,
            )
            for server, process in self.simulation.servers.items()
            if process.up
            and server in self.simulation.listed_servers
            and self._knows(process)
        }

    def _knows(self, process):
        """Return whether the leader knew the server before, or it has registered."""
        missed = self.frozen_step is not None and (
            process.registered_step > self.frozen_step
        )
        if self.first_era < self.simulation.store.era and not missed:
            return True
        return self.simulation.now_s >= process.listed_since_s

    def find(self, server):
        return self.all().get(server)

    def servers_of(self, service):
        return [one for one in self.all().values() if one.service == service]

    def listed_or_removed(self, _now_s):
        """Return all servers: those of the last seconds are remembered."""
        listed_servers = self.simulation.listed_servers
        self.simulation.listed_servers = {*self.simulation.servers}
        try:
            return [*self.all().values()]
        finally:
            self.simulation.listed_servers = listed_servers


class LeaderView:
    """View of one leader, with the real decoding of the stored assignment."""

    def __init__(self, simulation, first_era):
        from jacinthpath.gateway.assignment import EMPTY_ASSIGNMENT

        self.directory = Directory(simulation, first_era)
        self.limits = ServerLimits()
        self.evacuated = Evacuations(5.0)
        self.peer_addresses = {}
        self.assignment = EMPTY_ASSIGNMENT
        self.assignment_revision = 0
        self.moving_since_s = {}
        self.simulation = simulation
        self.earlier_grants = EarlierGrants()
        self.earlier_grants.record_servers(first_era, 0.0)

    @property
    def routes(self):
        services = {
            name: Service(name, True, 100, "/health", 3.0)
            for name in self.simulation.keyed_services
        }
        return RouteIndex(RouteTable(1, (), services, None))

    def cold_rate_per_s(self, _backend, _now_s):
        """No server of the simulation is ever cold."""
        return 0.0

    def knows_earlier_grants(self):
        age_s = 0.0
        if self.directory.frozen_step is not None:
            age_s = 0.1 * (self.simulation.steps - self.directory.frozen_step)
        self.earlier_grants.record_servers(self.simulation.store.era, age_s)
        known = self.assignment if self.assignment_revision else None
        return self.earlier_grants.are_known(known)

    def apply_assignment(self, content, revision, _source):
        from jacinthpath.gateway.assignment import decode_assignment

        assignment = decode_assignment(content)
        known = self.assignment.fence, self.assignment_revision
        if (assignment.fence, revision) > known:
            self.assignment = assignment
            self.assignment_revision = revision
            self.moving_since_s = {
                key: self.moving_since_s.get(key, self.simulation.now_s)
                for key in (
                    range_move_id(service, owned)
                    for service, ranges in self.assignment.ranges.items()
                    for owned in ranges
                    if owned.target
                )
            }


class SimulatedElection:
    authority = None
    record_revision = 0

    def step_down(self, _reason):
        self.authority = None


class Leader:
    """One process that may lead.

    :param first_era: era of the store in which it first had a list of servers.
    """

    def __init__(self, simulation, name, first_era=0):
        self.simulation, self.name = simulation, name
        self.cut_off = False
        self.silent = False
        self.frozen = False
        self.lease_until_s = 0.0
        self.process_end_s = 0.0
        self.election = SimulatedElection()
        self.view = LeaderView(simulation, first_era)
        self.eras = StoreEras(is_first_start=False, clock=lambda: simulation.now_s)
        loops = LoopSupervisor(NullEventLog(), NullEventLog(), simulation.random)
        self.assigner = Assigner(
            LeaderStore(simulation, self),
            self.view,
            self.election,
            LeaderCommands(simulation, self),
            LoadAggregator(),
            ReachMonitor(
                self.view,
                NullEventLog(),
                None,
                NullEventLog(),
                NullEventLog(),
                simulation.random,
                loops,
                lambda: simulation.now_s,
            ),
            TIMING,
            NullEventLog(),
            NullEventLog(),
            LeaderProcess(name, name),
            self.has_stopped_leading,
            self.eras,
            loops,
            lambda: simulation.now_s,
        )

    async def has_stopped_leading(self, leader):
        """Check another leader, as by a request to the peer."""
        other = next(
            (one for one in self.simulation.leaders if one.name == leader.address), None
        )
        if other is None:
            # Another process runs at the address.
            return True
        if (self.name, other.name) in self.simulation.blocked_paths or other.silent:
            return False
        self.view.apply_assignment(
            encode_assignment(other.view.assignment),
            other.view.assignment_revision,
            "peer",
        )
        return other.election.authority is None


class Simulation:
    """The whole simulation; :attr:`now_s` is the boot clock of all processes."""

    def __init__(self, seed, late_command_rate=0.0, lost_write_rate=0.0):
        self.random = Random(seed)
        self.now_s = 1_000.0
        self.late_command_rate = late_command_rate
        self.lost_write_rate = lost_write_rate
        self.lost_grant_rate = 0.0
        self.sampled_keys = [*range(0, KEY_COUNT, 2_731), KEY_COUNT - 1]
        self.keyed_services = [SERVICE]
        self.steps = 0
        self.store = SimulatedStore(self)
        self.servers = {}
        self.listed_servers = set()
        self.blocked_paths = set()
        self.pending_commands = []
        self.latest_grants = {}
        self.violations = []
        self.started_ms = 1
        self.restored_s = float("-inf")
        for index in range(4):
            self.start_server(f"s{index}")
        self.leaders = [Leader(self, f"l{index}") for index in range(3)]

    def start_server(self, server, service=SERVICE):
        self.started_ms += 1
        self.servers[server] = ServerProcess(self, server, self.started_ms, service)
        self.listed_servers.add(server)

    def stop_server(self, server):
        self.servers[server].up = False

    def check_fence(self, key, process, fence):
        """A key may go to another server only with a higher fence than any before."""
        owned_key = process.service, key
        highest, holder = self.latest_grants.get(owned_key, (0, None))
        if holder is not process and fence <= highest and holder is not None:
            if holder.server != process.server:
                self.violations.append(f"key {key}: fence {fence} after {highest}")
        if fence >= highest:
            self.latest_grants[owned_key] = (fence, process)

    def check_owners(self):
        for service in (SERVICE, OTHER_SERVICE):
            for key in self.sampled_keys:
                holders = [s.server for s in self.holders(key, service)]
                if len(holders) > 1:
                    self.violations.append(f"key {key} at {self.now_s:.2f}: {holders}")

    def holders(self, key, service):
        return [
            one
            for one in self.servers.values()
            if one.service == service and one.holds_key(key)
        ]

    def holder(self, key, service=SERVICE):
        return next(iter(self.holders(key, service)), None)

    async def advance(self, duration_s=0.1):
        """Advance the clock and run every leader once."""
        self.now_s += duration_s
        self.steps += 1
        self.store.keep_copy()
        self._deliver_late_commands()
        self._run_leases()
        self.check_owners()
        item = self.store.items.get(ASSIGNMENT_KEY)
        for leader in self.leaders:
            if leader.frozen:
                continue
            if not leader.cut_off:
                leader.eras.record(self.store.era)
            if item is not None and not leader.cut_off:
                leader.view.apply_assignment(item.value, item.revision, "store")
            try:
                await leader.assigner.run_once()
            except (StoreUnavailable, StoreOutcomeUnknown, ConflictingWrite):
                pass
            except Exception as error:
                if type(error).__name__ != "StoreError":
                    raise
            tasks = [*leader.assigner._command_runner.tasks]
            if tasks:
                await asyncio.gather(*tasks)
            self.check_owners()

    def _deliver_late_commands(self):
        due = [entry for entry in self.pending_commands if entry[0] <= self.now_s]
        self.pending_commands = [
            entry for entry in self.pending_commands if entry[0] > self.now_s
        ]
        for _, sent_s, process, kind, command in due:
            if process.up and kind == "grant":
                process.grant(command, sent_s)
            elif process.up:
                process.release(command)
        self.check_owners()

    def _run_leases(self):
        """Renew, end and win leases as the leader election does."""
        for leader in self.leaders:
            authority = leader.election.authority
            if authority is None:
                continue
            if authority.resigning:
                self._run_resignation(leader)
                continue
            record = self.store.items.get(LEADER_KEY)
            owns_record = record and record.revision == leader.election.record_revision
            if not leader.cut_off and self._is_of_earlier_era(leader):
                # The lease ids of an earlier era are not valid any more.
                leader.election.authority = None
                continue
            if not leader.cut_off and owns_record:
                leader.lease_until_s = self.now_s + TTL_S
                authority.record_lease_renewal(self.now_s)
            elif not leader.cut_off or not authority.may_renew_grants(self.now_s):
                leader.election.authority = None
            if owns_record and self.now_s >= leader.lease_until_s:
                del self.store.items[LEADER_KEY]
        self._expire_record_of_earlier_era()
        record = self.store.items.get(LEADER_KEY)
        for leader in self.leaders:
            # The lease of a leader that stepped down expires.
            held = record and record.revision == leader.election.record_revision
            if held and self.now_s >= leader.lease_until_s:
                self.store.items.pop(LEADER_KEY, None)
        if LEADER_KEY not in self.store.items:
            candidates = [
                leader
                for leader in self.leaders
                if not leader.cut_off and leader.election.authority is None
            ]
            if candidates:
                self._elect(self.random.choice(candidates))

    def _is_of_earlier_era(self, leader):
        return era_of_revision(leader.election.record_revision) < self.store.era

    def _expire_record_of_earlier_era(self):
        """Remove a restored leader record once its lease has run out."""
        record = self.store.items.get(LEADER_KEY)
        owned = record and any(
            record.revision == leader.election.record_revision
            for leader in self.leaders
        )
        if record and not owned and self.now_s >= self.restored_s + TTL_S:
            del self.store.items[LEADER_KEY]

    def restore_store(self, age_steps):
        """Restore the store from the copy made ``age_steps`` steps ago."""
        self.store.restore(age_steps)
        self.restored_s = self.now_s
        for process in self.servers.values():
            if process.registered_step > self.steps - age_steps:
                process.listed_since_s = self.now_s + REGISTRATION_S

    def restart_leader(self, leader):
        """Replace a leader's process by one that first sees the store restored."""
        index = self.leaders.index(leader)
        self.leaders[index] = Leader(self, f"{leader.name}'", self.store.era + 1)

    def freeze(self, leader):
        """Let a leader's process stand still."""
        leader.frozen = leader.cut_off = leader.silent = True
        leader.view.directory.frozen_step = self.steps

    def thaw(self, leader):
        leader.frozen = leader.cut_off = leader.silent = False

    def resign(self, leader, grace_s=5.5):
        """Resign the leadership; the process ends after ``grace_s``."""
        if leader.election.authority is not None:
            leader.election.authority.resigning = True
            leader.process_end_s = self.now_s + grace_s

    def _run_resignation(self, leader):
        """Revoke the lease once the store is reachable; stop when succeeded."""
        own_revision = leader.election.record_revision
        record = self.store.items.get(LEADER_KEY)
        if record and record.revision == own_revision:
            if not leader.cut_off or self.now_s >= leader.lease_until_s:
                del self.store.items[LEADER_KEY]
        succeeded = not leader.cut_off and record and record.revision > own_revision
        authority = leader.election.authority
        if (
            succeeded
            or self.now_s >= leader.process_end_s
            or not authority.may_renew_grants(self.now_s)
        ):
            leader.election.authority = None

    def _elect(self, leader):
        record = json.dumps({"host": leader.name}).encode()
        leader.election.record_revision = self.store.put(LEADER_KEY, record)
        leader.lease_until_s = self.now_s + TTL_S
        leader.election.authority = LeaderAuthority(TTL_S, self.now_s)

    @property
    def written(self):
        item = self.store.items.get(ASSIGNMENT_KEY)
        return json.loads(item.value) if item else None
