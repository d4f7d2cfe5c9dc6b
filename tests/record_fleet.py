"""A fleet of record holders and entry processes that exchange messages in a bag."""

import itertools
import random
from collections import defaultdict

from jacinthpath.record_messages import NEW, SETTLED, Claim, KeptResponse
from jacinthpath.record_quorum import RecordQuorum
from jacinthpath.record_roster import Member, choose_holders, founding_roster
from jacinthpath.record_standing import MAX_CLAIM_S, HolderStanding
from jacinthpath.records import RecordLedger

HOSTS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "d1": "d"}
RETENTION_S = 600.0
OUTCOMES = ("settled", "lost", "refused")


class Holder:
    def __init__(self, fleet, host, process):
        self.member = Member(host, HOSTS[host], process)
        self.standing = fleet.standing_class(self.member, RETENTION_S)
        self.ledger = RecordLedger(self.standing, RETENTION_S)
        self.pulls = {}


class Request:
    def __init__(self, entry, key, quorum):
        self.entry = entry
        self.key = key
        self.quorum = quorum
        self.claim = None
        self.holders = ()
        self.status = "claiming"
        self.due_at = float("inf")


class Fleet:
    """Checks at each send that it is the only one of its key.

    :param standing_class: how a holder decides that an absent record is new.
    :param holder_count: holders that a claim goes to.
    """

    def __init__(self, standing_class=HolderStanding, holder_count=3):
        self.standing_class = standing_class
        self.holder_count = holder_count
        self.now = 1000.0
        self.randomness = random.Random(7)
        self.numbers = itertools.count(1)
        self.attempts = itertools.count(1)
        self.roster = founding_roster(Member(*each) for each in HOSTS.items())
        self.holders = {host: Holder(self, host, f"{host}-0") for host in HOSTS}
        for holder in self.holders.values():
            holder.standing.found(self.roster, self.roster)
            holder.standing.confirm(self.now)
        self.entries = {name: (f"{name}-0", self.roster) for name in ("e0", "e1", "e2")}
        self.requests = []
        self.messages = []
        self.sends = defaultdict(list)
        self.told = []

    # Entry processes

    def start(self, name, key):
        process, _ = self.entries[name]
        request = Request((name, process), key, RecordQuorum(self.now + MAX_CLAIM_S))
        self.requests.append(request)
        self._begin(request, next(self.attempts))
        return request

    def _begin(self, request, attempt):
        roster = self.entries[request.entry[0]][1]
        request.due_at = float("inf")
        request.claim = Claim(
            "shop", "order", request.key, b"d", request.entry[1], attempt, 60.0,
            roster.version,
        )  # fmt: skip
        holders = choose_holders(*request.claim.key, roster.hosts())
        request.holders = holders[: self.holder_count]
        request.quorum.begin(request.claim, request.holders, self.now)
        for host in request.holders:
            self.messages.append(("claim", host, request.claim, request))

    def _advance(self, request):
        if request.status != "claiming" or request.due_at != float("inf"):
            return
        decision = request.quorum.decide(self.now, self.randomness)
        if decision.withdraw:
            self._settle(request, NEW, None)
        if decision.action == "send":
            request.status = "held"
        elif decision.action == "answer":
            self._tell(request, decision.state)
        elif decision.action != "wait":
            request.due_at = self.now + decision.after_s
            request.attempt = request.claim.attempt
            if decision.withdraw:
                request.attempt = next(self.attempts)
            if decision.action == "refresh":
                self.learn_entry(request.entry[0])

    def _settle(self, request, state, response):
        for host in request.holders:
            self.messages.append(("settle", host, request.claim, state, response))

    def _tell(self, request, state):
        request.status = "told"
        self.told.append((request.key, state))
        if state == NEW:
            assert not self._recent(request.key), "told not run after a send"

    def _recent(self, key):
        return [at for at in self.sends[key] if self.now - at <= RETENTION_S]

    def send(self, request):
        assert not self._recent(request.key), f"second send of {request.key}"
        self.sends[request.key].append(self.now)
        request.status = "sent"

    def finish(self, request, outcome):
        if outcome == "refused":
            self.sends[request.key].pop()
            self._settle(request, NEW, None)
            self._tell(request, NEW)
        elif outcome == "settled":
            self._settle(request, SETTLED, KeptResponse(200, (), b"done"))
            request.status = "done"

    def progress(self, request, outcome):
        if request.status == "held" and self.now < request.quorum._send_by:
            self.send(request)
        elif request.status == "sent":
            self.finish(request, outcome)

    def kill_entry(self, name):
        self.requests = [each for each in self.requests if each.entry[0] != name]
        self.entries[name] = (f"{name}-{next(self.numbers)}", self.roster)

    def learn_entry(self, name):
        self.entries[name] = (self.entries[name][0], self.roster)

    # Holders

    def restart(self, host):
        self.holders[host] = Holder(self, host, f"{host}-{next(self.numbers)}")

    def admit(self, host):
        member = self.holders[host].member
        listed = self.roster.member(host)
        if listed is None or listed.process not in ("", member.process):
            self.roster = self.roster.with_member(member)
        elif not listed.process and not self.holders[host].standing._founder:
            self.roster = self.roster.with_member(member)

    def remove(self, host):
        if self.roster.member(host) and len(self.roster.members) > 1:
            self.roster = self.roster.without_host(host)

    def learn(self, host):
        standing = self.holders[host].standing
        standing.adopt(self.roster)
        standing.confirm(self.now)

    def pull(self, host):
        holder = self.holders[host]
        for peer in holder.standing.peers_to_pull():
            self._ask_page(holder, peer.host, 0)

    def _ask_page(self, holder, peer, cursor):
        number = next(self.numbers)
        holder.pulls[peer] = number
        self.messages.append(("transfer", peer, holder, cursor, number))

    # Messages

    def deliver(self, index, keep=False):
        message = self.messages[index]
        if not keep:
            self.messages.pop(index)
        getattr(self, f"_on_{message[0]}")(*message[1:])

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

    def _on_claim(self, host, claim, request):
        answer = self.holders[host].ledger.claim(claim, self.now)
        if getattr(self.standing_class, "hides_version", False):
            answer = answer._replace(roster_version=claim.roster_version)
        self.messages.append(("answer", host, claim, answer, request))

    def _on_answer(self, host, claim, answer, request):
        if request in self.requests:
            request.quorum.take(host, claim, answer)
            self._advance(request)

    def _on_settle(self, host, claim, state, response):
        self.holders[host].ledger.settle(claim, state, response, self.now)

    def _on_transfer(self, host, requester, cursor, number):
        sender = self.holders[host]
        page = sender.ledger.transfer(requester.member.host, cursor, self.now)
        self.messages.append(("page", sender.member, requester, page, number))

    def _on_page(self, sender, requester, page, number):
        if requester.pulls.get(sender.host) != number:
            return
        del requester.pulls[sender.host]
        listed = requester.standing.roster.member(sender.host)
        if listed is None or listed.process not in ("", sender.process):
            return
        if requester.ledger.receive(page, sender.host, self.now) and page.following:
            self._ask_page(requester, sender.host, page.following)

    def pass_time(self, seconds):
        self.now += seconds
        for request in list(self.requests):
            if request.status == "claiming" and self.now >= request.due_at:
                self._begin(request, request.attempt)
            self._advance(request)

    def converge(self):
        """Bring every process to the newest roster and complete all transfers."""
        for host in HOSTS:
            self.admit(host)
        for name in self.entries:
            self.learn_entry(name)
        for _ in range(2):
            for host in HOSTS:
                self.learn(host)
            for host in HOSTS:
                self.pull(host)
            self.deliver_all()

    def run(self, name, key, outcome="settled", reach=(0, 1, 2)):
        """Take one request as far as it goes; return what came of it.

        :param reach: positions of the holders that messages reach in time; those
            to the others stay in the bag.
        """
        request = self.start(name, key)
        for _ in range(40):
            self._deliver_within(request, reach)
            self.progress(request, outcome)
            if request.status in ("sent", "done", "told"):
                break
            self.pass_time(0.3)
        self.progress(request, outcome)
        self._deliver_within(request, reach)
        return request.status, self.told[-1][1] if request.status == "told" else ""

    def _deliver_within(self, request, reach):
        process = request.entry[1]
        reached = [host for at, host in enumerate(request.holders) if at in reach]
        index = 0
        while index < len(self.messages):
            kind, host, claim = self.messages[index][:3]
            is_own = kind in ("claim", "settle", "answer") and claim.entry == process
            if is_own and host in reached:
                self.deliver(index)
            else:
                index += 1
