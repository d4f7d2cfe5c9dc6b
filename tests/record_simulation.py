"""Simulation of record holders and entry processes with unordered messages."""

import itertools
import random
from collections import defaultdict

from jacinthpath.record_completeness import MAX_CLAIM_S, HolderCompleteness
from jacinthpath.record_messages import NEW, SETTLED, Claim, KeptResponse
from jacinthpath.record_quorum import RecordQuorum
from jacinthpath.record_roster import Member, choose_holders, initial_roster
from jacinthpath.records import RecordLedger

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "d1": "d"}
RETENTION_S = 600.0
# Outcomes of a sent request: its response is kept, the entry process reports nothing,
# or the endpoint refuses the request without running it.
OUTCOMES = ("settled", "lost", "refused")


class Holder:
    def __init__(self, simulation, host, process_id):
        self.member = Member(host, HOSTS[host], process_id)
        self.completeness = simulation.completeness_class(self.member, RETENTION_S)
        self.ledger = RecordLedger(self.completeness, RETENTION_S)
        self.pull_ids = {}


class Request:
    def __init__(self, entry, key, quorum):
        self.entry = entry
        self.key = key
        self.quorum = quorum
        self.claim = None
        self.holders = ()
        self.status = "claiming"
        self.retry_at = float("inf")


class Simulation:
    """Delivers messages in any order and checks that no key is sent twice.

    Also checks that no caller gets "not run" after a send.

    :param completeness_class: decides whether an absent record is new.
    :param holder_count: number of holders that a claim is sent to.
    """

    def __init__(self, completeness_class=HolderCompleteness, holder_count=3):
        self.completeness_class = completeness_class
        self.holder_count = holder_count
        self.now = 1000.0
        self.randomness = random.Random(7)
        self.ids = itertools.count(1)
        self.attempts = itertools.count(1)
        self.roster = initial_roster(Member(*each) for each in HOSTS.items())
        self.holders = {host: Holder(self, host, f"{host}-0") for host in HOSTS}
        for holder in self.holders.values():
            holder.completeness.start_as_initial_member(self.roster, self.roster)
            holder.completeness.record_confirmation(self.now)
        self.entries = {name: (f"{name}-0", self.roster) for name in ("e0", "e1", "e2")}
        self.requests = []
        self.messages = []
        self.sends = defaultdict(list)
        self.answers = []

    # Entry processes

    def start(self, name, key):
        process_id, _ = self.entries[name]
        request = Request((name, process_id), key, RecordQuorum(self.now + MAX_CLAIM_S))
        self.requests.append(request)
        self._start_round(request, next(self.attempts))
        return request

    def _start_round(self, request, attempt):
        roster = self.entries[request.entry[0]][1]
        request.retry_at = float("inf")
        request.claim = Claim(
            "shop", "order", request.key, b"d", request.entry[1], attempt, 60.0,
            roster.version,
        )  # fmt: skip
        holders = choose_holders(*request.claim.key, roster.hosts())
        request.holders = holders[: self.holder_count]
        request.quorum.start_round(request.claim, request.holders, self.now)
        for host in request.holders:
            self.messages.append(("claim", host, request.claim, request))

    def _advance(self, request):
        if request.status != "claiming" or request.retry_at != float("inf"):
            return
        decision = request.quorum.decide(self.now, self.randomness)
        if decision.withdraw:
            self._settle(request, NEW, None)
        if decision.action == "send":
            request.status = "claimed"
        elif decision.action == "answer":
            self._answer_caller(request, decision.state)
        elif decision.action != "wait":
            request.retry_at = self.now + decision.after_s
            request.attempt = request.claim.attempt
            if decision.withdraw:
                request.attempt = next(self.attempts)
            if decision.action == "refresh":
                self.update_entry_roster(request.entry[0])

    def _settle(self, request, state, response):
        for host in request.holders:
            self.messages.append(("settle", host, request.claim, state, response))

    def _answer_caller(self, request, state):
        request.status = "answered"
        self.answers.append((request.key, state))
        if state == NEW:
            assert not self._recent_sends(request.key), "answered not run after a send"

    def _recent_sends(self, key):
        return [
            sent_at for sent_at in self.sends[key] if self.now - sent_at <= RETENTION_S
        ]

    def send(self, request):
        assert not self._recent_sends(request.key), f"second send of {request.key}"
        self.sends[request.key].append(self.now)
        request.status = "sent"

    def finish(self, request, outcome):
        if outcome == "refused":
            self.sends[request.key].pop()
            self._settle(request, NEW, None)
            self._answer_caller(request, NEW)
        elif outcome == "settled":
            self._settle(request, SETTLED, KeptResponse(200, (), b"done"))
            request.status = "done"

    def progress(self, request, outcome):
        if request.status == "claimed" and self.now < request.quorum._send_by:
            self.send(request)
        elif request.status == "sent":
            self.finish(request, outcome)

    def kill_entry(self, name):
        self.requests = [each for each in self.requests if each.entry[0] != name]
        self.entries[name] = (f"{name}-{next(self.ids)}", self.roster)

    def update_entry_roster(self, name):
        self.entries[name] = (self.entries[name][0], self.roster)

    # Holders

    def restart(self, host):
        self.holders[host] = Holder(self, host, f"{host}-{next(self.ids)}")

    def admit(self, host):
        member = self.holders[host].member
        listed = self.roster.member(host)
        if listed is None or listed.process_id not in ("", member.process_id):
            self.roster = self.roster.with_member(member)
        elif (
            not listed.process_id
            and not self.holders[host].completeness._is_first_process
        ):
            self.roster = self.roster.with_member(member)

    def remove(self, host):
        if self.roster.member(host) and len(self.roster.members) > 1:
            self.roster = self.roster.without_host(host)

    def update_holder_roster(self, host):
        completeness = self.holders[host].completeness
        completeness.adopt(self.roster)
        completeness.record_confirmation(self.now)

    def pull(self, host):
        holder = self.holders[host]
        for peer in holder.completeness.list_unpulled_peers():
            self._request_page(holder, peer.host, 0)

    def _request_page(self, holder, peer, cursor):
        pull_id = next(self.ids)
        holder.pull_ids[peer] = pull_id
        self.messages.append(("transfer", peer, holder, cursor, pull_id))

    # Messages

    def deliver(self, index, duplicate=False):
        message = self.messages[index]
        if not duplicate:
            self.messages.pop(index)
        getattr(self, f"_handle_{message[0]}")(*message[1:])

    def deliver_all(self, shuffle=False):
        for _ in range(2000):
            if not self.messages:
                break
            index = self.randomness.randrange(len(self.messages)) if shuffle else 0
            self.deliver(index)

    def deliver_kinds(self, *kinds):
        index = 0
        while index < len(self.messages):
            if self.messages[index][0] in kinds:
                self.deliver(index)
            else:
                index += 1

    def _handle_claim(self, host, claim, request):
        result = self.holders[host].ledger.claim(claim, self.now)
        if getattr(self.completeness_class, "reports_claimed_version", False):
            result = result._replace(roster_version=claim.roster_version)
        self.messages.append(("result", host, claim, result, request))

    def _handle_result(self, host, claim, result, request):
        if request in self.requests:
            request.quorum.add_result(host, claim, result)
            self._advance(request)

    def _handle_settle(self, host, claim, state, response):
        self.holders[host].ledger.settle(claim, state, response, self.now)

    def _handle_transfer(self, host, requester, cursor, pull_id):
        sender = self.holders[host]
        page = sender.ledger.export_page(requester.member.host, cursor, self.now)
        self.messages.append(("page", sender.member, requester, page, pull_id))

    def _handle_page(self, sender, requester, page, pull_id):
        if requester.pull_ids.get(sender.host) != pull_id:
            return
        del requester.pull_ids[sender.host]
        listed = requester.completeness.roster.member(sender.host)
        if listed is None or listed.process_id not in ("", sender.process_id):
            return
        if (
            requester.ledger.import_page(page, sender.host, self.now)
            and page.next_cursor
        ):
            self._request_page(requester, sender.host, page.next_cursor)

    def pass_time(self, seconds):
        self.now += seconds
        for request in list(self.requests):
            if request.status == "claiming" and self.now >= request.retry_at:
                self._start_round(request, request.attempt)
            self._advance(request)

    def converge(self):
        """Give every process the newest roster and complete all transfers."""
        for host in HOSTS:
            self.admit(host)
        for name in self.entries:
            self.update_entry_roster(name)
        for _ in range(2):
            for host in HOSTS:
                self.update_holder_roster(host)
            for host in HOSTS:
                self.pull(host)
            self.deliver_all()

    def run(self, name, key, outcome="settled", reachable=(0, 1, 2)):
        """Run one request as far as possible; return its status and its answer.

        :param reachable: positions of the holders that messages are delivered to;
            messages to the others stay pending.
        """
        request = self.start(name, key)
        for _ in range(40):
            self._deliver_within(request, reachable)
            self.progress(request, outcome)
            if request.status in ("sent", "done", "answered"):
                break
            self.pass_time(0.3)
        self.progress(request, outcome)
        self._deliver_within(request, reachable)
        return (
            request.status,
            self.answers[-1][1] if request.status == "answered" else "",
        )

    def _deliver_within(self, request, reachable):
        process_id = request.entry[1]
        reached = [
            host for index, host in enumerate(request.holders) if index in reachable
        ]
        index = 0
        while index < len(self.messages):
            kind, host, claim = self.messages[index][:3]
            is_of_request = (
                kind in ("claim", "settle", "result") and claim.entry == process_id
            )
            if is_of_request and host in reached:
                self.deliver(index)
            else:
                index += 1
