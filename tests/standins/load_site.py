"""Simulates a site under load: retrying callers, entries, agents and servers.

It runs the deciding code of the core with simulated time and network delays, and
counts how many requests are answered in time, late or not at all.
"""

from __future__ import annotations

import bisect
import collections
import dataclasses
import functools
import heapq
import itertools
import math
import random
import typing

import msgspec

from cactushall_core import addresses, identifiers
from cactushall_core.flows import (
    actions,
    agent,
    cold_start,
    entry,
    messages,
    packets,
    reports,
    routes,
    servers,
)
from cactushall_core.membership import completeness
from tests.core.flows import builders

TICK_INTERVAL_SECONDS = 0.05
RETRANSMISSION_DELAYS_SECONDS = (0.2, 0.6)
CALLER_LATENCY_SECONDS = 0.003
IN_ZONE_LATENCY_SECONDS = 0.0002
CROSS_ZONE_LATENCY_SECONDS = 0.005
MEMBERSHIP_DELAY_SECONDS = 0.05
SERVER_QUEUE = 8
# Servers announce themselves only once.
HEARTBEAT_SECONDS = 3600.0
ZONES = 3
WINDOW_SECONDS = 2.0


def constant_rate(rate):
    """Return a constant rate of requests a second, as a function of time."""
    return lambda _now: rate


def sine_rate(mean, swing, period):
    """Return a rate that follows a sine wave, as a function of time.

    Args:
        mean: Mean number of requests a second.
        swing: Amplitude as a share of the mean.
        period: Length of one wave in seconds.
    """
    return lambda now: mean * (1 + swing * math.sin(2 * math.pi * now / period))


def burst_rate(rate, factor, begin, end):
    """Return a rate that is multiplied from a begin until an end, in seconds."""
    return lambda now: rate * (factor if begin <= now < end else 1.0)


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of requests, which has a route of its own.

    Attributes:
        name: Name for results.
        rate: Returns the requests a second at a time.
        service_seconds: Mean time of a request in a slot.
        objective_seconds: Response time objective.
        priority: Priority of the route.
        repeatability: Whether its requests may run more than once.
        score: Score of an answer in time.
        late_score: Share of it that an answer after the objective scores.
        is_long: Whether callers keep their flows open for all their requests.
        service: The service that the route leads to.
        zones: Zones of its callers, each as often as it is named.
    """

    name: str
    rate: typing.Callable[[float], float]
    service_seconds: float
    objective_seconds: float
    priority: int = 2
    repeatability: routes.Repeatability = routes.Repeatability.IDEMPOTENT
    score: float = 1.0
    late_score: float = 0.3
    is_long: bool = False
    service: identifiers.ServiceName = builders.SERVICE
    zones: tuple[int, ...] = tuple(range(ZONES))


@dataclasses.dataclass(frozen=True)
class Plan:
    """The load and the servers of one simulation.

    Attributes:
        seconds: Length of the simulation in simulated seconds.
        rate: Returns the requests a second at a time.
        service_seconds: Mean time of a request in a slot.
        tail_share: Share of requests that take `tail_factor` times as long.
        tail_factor: How many times longer the requests of the tail take.
        slots: Requests that a server runs at once.
        server_count: Number of backend servers.
        slowdown_factors: How many times slower a server is, by its number.
        objective_seconds: Response time objective.
        deadline_seconds: Time after which a caller abandons a request.
        late_score: Score of an answer after the objective; one in time scores 1.
        route_timeout_seconds: Timeout of the route, which may be another one than the
            callers' deadline; 0 for none.
        new_flow_share: Share of requests that open a new flow and close it again.
        users: Number of callers that keep a flow open for all their requests.
        entry_count: Number of entries.
        zone_weights: Relative numbers of callers in the zones.
        retries: How often a caller retries a request.
        outage: Start and end of an outage of all processes, in seconds.
        cold_seconds: How long servers are slower after the outage.
        cold_factor: How many times slower they are then.
        hedging_percent: Limit of second offers as a percentage of openings.
        opening_loss: Share of openings that are lost between an entry and an agent.
        failing_shares: Share of requests that a server answers with an error at once,
            by its number.
        hanging_shares: Share of requests that a server never answers, by its number.
        frozen_servers: Start and end of the time in which a server answers nothing,
            by its number.
        kinds: Kinds of requests, where there are several; they replace the rate, the
            service time, the objective and the scores of the plan. At most one has
            long flows.
        other_server_count: How many of the servers belong to the other service.
        cold_per_second: Requests a second that a cold server can handle, as the
            operators configure it; 0 for no limit.
        cold_overage: Factor by which new flows may exceed that.
        cold_slack: New flows in a second that are allowed beyond that.
        knows_entries: Whether entries know each other; their queries to each other are
            not simulated.
    """

    seconds: float
    rate: typing.Callable[[float], float]
    service_seconds: float = 0.013
    tail_share: float = 0.03
    tail_factor: float = 7.0
    slots: int = 1
    server_count: int = 8
    slowdown_factors: typing.Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    objective_seconds: float = 0.12
    deadline_seconds: float = 1.0
    late_score: float = 0.5
    route_timeout_seconds: float = 0.0
    new_flow_share: float = 0.3
    users: int = 300
    entry_count: int = 5
    zone_weights: tuple[float, ...] = (1.0,) * ZONES
    retries: int = 2
    outage: tuple[float, float] | None = None
    cold_seconds: float = 2.0
    cold_factor: float = 1.6
    cold_per_second: float = 0.0
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    knows_entries: bool = False
    hedging_percent: float = 0.0
    opening_loss: float = 0.0
    failing_shares: typing.Mapping[int, float] = dataclasses.field(default_factory=dict)
    hanging_shares: typing.Mapping[int, float] = dataclasses.field(default_factory=dict)
    frozen_servers: typing.Mapping[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )
    kinds: tuple[Kind, ...] = ()
    other_server_count: int = 0

    @property
    def table(self):
        """The routes of all kinds of requests."""
        if not self.kinds:
            return builders.route_table(
                objective=self.objective_seconds,
                repeatability=routes.Repeatability.IDEMPOTENT,
                timeout=self.route_timeout_seconds,
            )
        made = {}
        for kind in self.kinds:
            address = builders.service_address(self.flow_of(kind))
            shares = (routes.Share(kind.service, 1.0),)
            made[address] = routes.Route(
                kind.name,
                address,
                shares,
                kind.repeatability,
                objective_seconds=kind.objective_seconds,
                priority=kind.priority,
            )
        return routes.RouteTable(identifiers.Revision(1), made)

    def flow_of(self, kind):
        """Return a flow of a kind of requests."""
        if kind is None:
            return builders.FLOW
        port = builders.FLOW.service_port + self.kinds.index(kind)
        return builders.FLOW._replace(service_port=port)

    def kind_of(self, flow_id):
        """Return a flow's kind of requests, None where the plan has no kinds."""
        index = flow_id.service_port - builders.FLOW.service_port
        return self.kinds[index] if self.kinds else None

    def service_of(self, number):
        """Return the service of a server."""
        is_other = number > self.server_count - self.other_server_count
        return builders.OTHER_SERVICE if is_other else builders.SERVICE


@dataclasses.dataclass
class Result:
    """The outcomes of some requests.

    Attributes:
        sent: Requests sent.
        on_time: Requests answered within the objective.
        late: Requests answered after the objective.
        seconds: Sum of the response times of all answered requests.
    """

    sent: int = 0
    on_time: int = 0
    late: int = 0
    seconds: float = 0.0

    @property
    def failed(self):
        return self.sent - self.on_time - self.late

    @property
    def mean_seconds(self):
        return self.seconds / max(1, self.on_time + self.late)

    def score(self, late_score):
        """Return the mean score of the requests; one without an answer scores 0."""
        return (self.on_time + late_score * self.late) / max(1, self.sent)


@dataclasses.dataclass(eq=False)
class Request:
    """One request of a caller, with all its attempts."""

    sent_at: float
    user: int | None
    kind: Kind | None = None
    zone: int | None = None
    attempts: int = 0
    is_over: bool = False


@dataclasses.dataclass(eq=False)
class Flow:
    """The state of a flow at its caller."""

    id: packets.FlowId
    zone: int
    request: Request | None
    opened_at: float
    is_long: bool
    acknowledged: int | None = None
    sequence: int = builders.CALLER_START + 1
    is_over: bool = False


class Server:
    """A backend server with slots and a first-come, first-served queue."""

    def __init__(self, site, number):
        self._site = site
        self.number = number
        self.flows = {}
        self._queue = collections.deque()
        self._running = 0
        self.cold_until = float("-inf")
        self.opened_cold_at = []

    def restart(self, now):
        """Lose all state, and be slower for the plan's `cold_seconds`."""
        self.flows = {}
        self._queue.clear()
        self._running = 0
        self.cold_until = now + self._site.plan.cold_seconds

    def handle_packet(self, packet):
        """Handle a packet that the agent delivers."""
        site = self._site
        begin, end = site.plan.frozen_servers.get(self.number, (math.inf, math.inf))
        if begin <= site.now < end:
            return
        if packet.is_opening:
            if packet.flow not in self.flows and site.now < self.cold_until:
                self.opened_cold_at.append(site.now)
            self.flows[packet.flow] = self.flows
            start = builders.SERVER_START + self.number * 100_000
            site.handle_server_packet(
                self.number, builders.opening_answer(packet.flow, start)
            )
        elif packet.flow not in self.flows:
            site.handle_server_packet(self.number, builders.bounced_packet(packet))
        elif packet.length and self._sheds(site.plan.failing_shares):
            self._answer(packet.flow, is_shed=True)
        elif packet.length and self._fails(site.plan.hanging_shares):
            site.hung += 1
        elif packet.length:
            self._queue.append((packet.flow, self.flows))
            self._run()

    def _sheds(self, shares):
        return len(self._queue) >= SERVER_QUEUE or self._fails(shares)

    def _fails(self, shares):
        share = shares.get(self.number, 0.0)
        return share > 0 and self._site.rng.random() < share

    def _run(self):
        plan = self._site.plan
        while self._queue and self._running < plan.slots:
            flow_id, flows = self._queue.popleft()
            self._running += 1
            seconds = self._site.service_seconds(self, flow_id)
            self._site.schedule(seconds, lambda i=flow_id, f=flows: self._done(i, f))

    def _done(self, flow_id, flows):
        if flows is not self.flows:
            return
        self._running -= 1
        self._answer(flow_id, is_shed=False)
        self._run()

    def _answer(self, flow_id, *, is_shed):
        status = 503 if is_shed else 200
        answer = builders.packet(sequence=status, length=10, flow=flow_id)
        self._site.handle_server_packet(self.number, answer)


class LoadSite:
    """A whole simulated site.

    Attributes:
        plan: The load and the servers.
        rng: Source of all random numbers.
        now: Simulated time in seconds.
        results: Outcomes of the requests that were sent in each time window.
        kind_results: Outcomes of the requests of each kind in each zone.
        declined: Number of new flows that agents declined.
        declined_cold: Number of those that a cold server had no allowance for.
        hung: Number of requests that servers left without an answer.
        waits: Time until the answer of each request that was answered, in seconds.
        opening_waits: Time until the answer of each opening packet that was
            answered, in seconds.
        openings: Number of flows that were opened.
        hedges: Number of second offers by their outcome.
    """

    def __init__(self, plan, seed):
        """Start all processes at time 0."""
        self.plan = plan
        self.rng = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        self._ports = itertools.count(1000)
        self._table = _route_table(plan)
        self._flows = {}
        self._user_flows = {}
        self._busy_users = set()
        self.results = collections.defaultdict(Result)
        self.kind_results = collections.defaultdict(Result)
        self.declined = 0
        self.declined_cold = 0
        self.hung = 0
        self.waits = []
        self.opening_waits = []
        self.openings = 0
        self.hedges = collections.Counter()
        self._offers_at = {}
        self._starts = itertools.count(1)
        self._servers = {n: Server(self, n) for n in range(1, plan.server_count + 1)}
        self._agents = {}
        self._records = {}
        self._reporters = {}
        self._entries = {}
        self._start_all()

    @property
    def servers(self):
        """The backend servers."""
        return list(self._servers.values())

    def run(self):
        """Run the simulation and return the outcomes of all requests."""
        for kind in self.plan.kinds or (None,):
            self.schedule(0.0, functools.partial(self._send_next_request, kind))
        if self.plan.outage:
            begin, end = self.plan.outage
            self.schedule(begin, self._stop_all)
            self.schedule(end, self._restart_all)
        while self._events:
            at, _, callback = heapq.heappop(self._events)
            if at > self.plan.seconds + self.plan.deadline_seconds:
                break
            self.now = at
            callback()
        total = Result()
        for result in self.results.values():
            total.sent += result.sent
            total.on_time += result.on_time
            total.late += result.late
            total.seconds += result.seconds
        return total

    def schedule(self, seconds, callback):
        """Schedule a call after some simulated seconds."""
        heapq.heappush(self._events, (self.now + seconds, next(self._order), callback))

    # Entries and agents.

    def _start_all(self):
        for number in self._servers:
            self._start_agent(number)
        for index in range(self.plan.entry_count):
            self._start_entry(index)

    def _stop_all(self):
        self._agents.clear()
        self._entries.clear()

    def _restart_all(self):
        for server in self._servers.values():
            server.restart(self.now)
        for number in self._servers:
            delay = self.rng.uniform(0.0, 0.3)
            self.schedule(delay, lambda n=number: self._start_agent(n))
        for index in range(self.plan.entry_count):
            delay = self.rng.uniform(0.0, 0.3)
            self.schedule(delay, lambda i=index: self._start_entry(i))

    def _start_agent(self, number):
        service = self.plan.service_of(number)
        server = servers.Server(service, builders.SERVER, HEARTBEAT_SECONDS)
        made = self.make_agent(server)
        self._agents[number] = made
        self._reporters[number] = reports.LoadReporter(self.now)
        start = next(self._starts)
        said = servers.Announcement(
            f"s{number}",
            start,
            1,
            service,
            builders.SERVER,
            self.plan.slots,
            False,
            max(0.0, self._servers[number].cold_until - self.now),
        )
        made.handle_announcement(said, self.now)
        made.update_routes(self._table, self.now)
        record = self._record(number, start)
        for one in self._entries.values():
            self.schedule(
                MEMBERSHIP_DELAY_SECONDS, lambda o=one: self._update_member(o, record)
            )
        self._tick_agent(number, made, server)
        self._records[number] = record

    def make_agent(self, server):
        """Return the deciding code of an agent."""
        cold = cold_start.ColdStart(self.plan.cold_overage, self.plan.cold_slack)
        return agent.AgentFlows(server, self.now, cold)

    def make_entry(self, zone, index):
        """Return the deciding code of an entry."""
        made = entry.EntryFlows(zone, random.Random(index), self.now)
        made.set_hedging_limit(self.plan.hedging_percent)
        return made

    def _record(self, number, start):
        zone = identifiers.ZoneName(str(number % ZONES))
        service = self.plan.service_of(number)
        return builders.agent_record(number, service=service, start=start, zone=zone)

    def _start_entry(self, index):
        zone = identifiers.ZoneName(str(index % ZONES))
        made = self.make_entry(zone, index)
        self._entries[index] = made
        made.update_routes(self._table, self.now)
        if self.plan.knows_entries:
            for number in range(self.plan.entry_count):
                made.update_member(builders.entry_record(number), self.now)
        for record in self._records.values():
            self.schedule(
                MEMBERSHIP_DELAY_SECONDS, lambda r=record: self._update_member(made, r)
            )
        self.schedule(
            completeness.COLD_START_SECONDS, lambda: self._complete_view(made)
        )
        self._tick_entry(index, made)

    def _complete_view(self, one):
        now = self.now
        for index, known in self._entries.items():
            if known is one:
                decided = one.update_completeness(builders.COMPLETE, now)
                self._execute_entry_actions(index, decided)

    def _update_member(self, one, record):
        for index, known in self._entries.items():
            if known is one:
                self._execute_entry_actions(index, one.update_member(record, self.now))

    def _tick_entry(self, index, made):
        if self._entries.get(index) is made:
            self._execute_entry_actions(index, made.tick(self.now))
            self.schedule(TICK_INTERVAL_SECONDS, lambda: self._tick_entry(index, made))

    def _tick_agent(self, number, made, server):
        if self._agents.get(number) is not made:
            return
        if server.tick(self.now):
            self._announce_unresponsive(number)
        self._execute_agent_actions(number, made.tick(self.now))
        if self._reporters[number].is_due(made.load, self.now):
            for index in self._entries:
                address = addresses.Address(f"10.0.0.{index}", 7735)
                report = messages.LoadReport(made.load)
                self._send_message(number, actions.SendMessage(address, report))
        self.schedule(
            TICK_INTERVAL_SECONDS, lambda: self._tick_agent(number, made, server)
        )

    def _announce_unresponsive(self, number):
        """Tell the entries that a server does not accept new flows any more."""
        known = self._records[number]
        record = builders.agent_record(
            number,
            incarnation=2,
            is_draining=True,
            start=known.member.id >> 32,
            zone=known.member.zone,
        )
        for one in self._entries.values():
            self.schedule(
                MEMBERSHIP_DELAY_SECONDS, lambda o=one: self._update_member(o, record)
            )

    def service_seconds(self, server, flow_id):
        """Return the service time of a server's next request in seconds."""
        plan = self.plan
        kind = plan.kind_of(flow_id)
        mean = kind.service_seconds if kind else plan.service_seconds
        seconds = mean * math.exp(self.rng.gauss(-0.125, 0.5))
        if self.rng.random() < plan.tail_share:
            seconds *= plan.tail_factor
        if self.now < server.cold_until:
            seconds *= plan.cold_factor
        return seconds * plan.slowdown_factors.get(server.number, 1.0)

    # Callers.

    def _send_next_request(self, kind):
        if self.now >= self.plan.seconds:
            return
        rate = (kind or self.plan).rate(self.now)
        self.schedule(
            self.rng.expovariate(rate),
            functools.partial(self._send_next_request, kind),
        )
        user = None
        new_flow_share = self.plan.new_flow_share
        if kind is not None:
            new_flow_share = 0.0 if kind.is_long else 1.0
        if self.rng.random() >= new_flow_share:
            idle_users = [
                n for n in range(self.plan.users) if n not in self._busy_users
            ]
            if not idle_users:
                return
            user = self.rng.choice(idle_users)
            self._busy_users.add(user)
        zone = self.rng.choice(kind.zones) if kind is not None else None
        request = Request(self.now, user, kind, zone)
        for result in self._results_of(request):
            result.sent += 1
        self.schedule(self.plan.deadline_seconds, lambda: self._abandon(request))
        self._attempt(request)

    def _results_of(self, request):
        yield self.results[int(request.sent_at / WINDOW_SECONDS)]
        if request.kind is not None:
            yield self.kind_results[request.kind.name, request.zone]

    def _abandon(self, request):
        if request.is_over:
            return
        request.is_over = True
        if request.user is not None:
            self._busy_users.discard(request.user)
            flow = self._user_flows.pop(request.user, None)
            if flow is not None:
                self._close(flow)

    def _close(self, flow):
        if flow.is_over:
            return
        flow.is_over = True
        flags = packets.Flags.FIN | packets.Flags.ACK
        if flow.acknowledged is not None:
            self._send(flow, flags, flow.sequence, flow.acknowledged, 0)

    def _attempt(self, request):
        if request.is_over:
            return
        if request.attempts > self.plan.retries:
            self._abandon(request)
            return
        request.attempts += 1
        flow = self._user_flows.get(request.user) if request.user is not None else None
        if flow is not None and not flow.is_over:
            flow.request = request
            self._send_request(flow)
            return
        flow_id = self.plan.flow_of(request.kind)
        flow_id = flow_id._replace(caller_port=next(self._ports))
        zone = self._choose_zone() if request.zone is None else request.zone
        is_long = request.user is not None
        flow = Flow(flow_id, zone, request, self.now, is_long)
        self._flows[flow_id] = flow
        self.openings += 1
        if is_long:
            self._user_flows[request.user] = flow
        self._send_opening(flow, 0)
        for copy, seconds in enumerate(RETRANSMISSION_DELAYS_SECONDS, 1):
            self.schedule(seconds, lambda c=copy: self._send_opening(flow, c))
        self.schedule(
            packets.OPENING_TIMEOUT_SECONDS, lambda: self._time_out_opening(flow)
        )

    def _choose_zone(self):
        weights = self.plan.zone_weights
        if len(set(weights)) == 1:
            return self.rng.randrange(ZONES)
        return self.rng.choices(range(ZONES), weights)[0]

    def _time_out_opening(self, flow):
        if flow.acknowledged is None and not flow.is_over:
            self._fail(flow)

    def _fail(self, flow):
        flow.is_over = True
        request, flow.request = flow.request, None
        if request is not None:
            self._attempt(request)

    def _send_opening(self, flow, copy):
        if flow.acknowledged is None and not flow.is_over:
            self._send(flow, packets.Flags.SYN, builders.CALLER_START, copy, 0)

    def _send_request(self, flow):
        flags = packets.Flags.ACK
        self._send(flow, flags, flow.sequence, flow.acknowledged, 10)
        flow.sequence += 10

    def _send(self, flow, flags, sequence, acknowledged, length):
        packet = builders.packet(flags, sequence, acknowledged, length, flow.id)
        packet = builders.with_linked_datagram(packet)
        entries = sorted(i for i in self._entries if i % ZONES == flow.zone)
        entries = entries or sorted(self._entries)
        if entries:
            index = entries[flow.id.caller_port % len(entries)]
            self.schedule(CALLER_LATENCY_SECONDS, lambda: self._at_entry(index, packet))

    def _at_entry(self, index, packet):
        one = self._entries.get(index)
        if one is not None:
            self._execute_entry_actions(index, one.handle_packet(packet, self.now))

    def _at_caller(self, packet):
        flow = self._flows.get(packet.flow)
        if flow is None or flow.is_over:
            return
        if packet.flags & packets.Flags.SYN:
            if flow.acknowledged is None:
                flow.acknowledged = packet.sequence + 1
                self.opening_waits.append(self.now - flow.opened_at)
                self._send_request(flow)
        elif packet.length and flow.request is not None:
            self._handle_answer(flow, is_shed=packet.sequence == 503)

    def _handle_answer(self, flow, *, is_shed):
        request, flow.request = flow.request, None
        if not flow.is_long:
            self._close(flow)
        if request.is_over:
            return
        if is_shed:
            self._attempt(request)
            return
        request.is_over = True
        if request.user is not None:
            self._busy_users.discard(request.user)
        self.waits.append(self.now - request.sent_at)
        objective_seconds = (request.kind or self.plan).objective_seconds
        is_on_time = self.now - request.sent_at <= objective_seconds
        for result in self._results_of(request):
            result.on_time += is_on_time
            result.late += not is_on_time
            result.seconds += self.now - request.sent_at

    # Network.

    def _execute_entry_actions(self, index, decided):
        own = addresses.Address(f"10.0.0.{index}", 7735)
        for action in decided:
            if isinstance(action, actions.Reset):
                self.schedule(
                    CALLER_LATENCY_SECONDS, lambda a=action: self._at_reset(a)
                )
            elif isinstance(action, actions.Forward):
                host = action.address.host
                packet = action.datagram.packet
                self._to_agent(index, own, host, packet, asks=False)
            elif isinstance(action, actions.SendMessage):
                self._message_to_agent(index, own, action)
            elif isinstance(action, actions.RecordHedge):
                self.hedges[action.outcome] += 1
        self._schedule_offers(index)

    def _schedule_offers(self, index):
        """Wake an entry when its next second offer is due."""
        one = self._entries.get(index)
        due_at = one.next_offer_at if one is not None else None
        if due_at is None or self._offers_at.get(index, -1.0) >= due_at:
            return
        self._offers_at[index] = due_at
        self.schedule(due_at - self.now, lambda: self._offer_due(index, one))

    def _offer_due(self, index, one):
        self._offers_at.pop(index, None)
        if self._entries.get(index) is one:
            self._execute_entry_actions(index, one.offer_due(self.now))

    def _is_lost(self):
        share = self.plan.opening_loss
        return share > 0 and self.rng.random() < share

    def _at_reset(self, action):
        flow = self._flows.get(action.flow)
        if flow is not None and not flow.is_over:
            self._fail(flow)

    def _to_agent(self, index, own, host, packet, *, asks):
        number = int(host.rpartition(".")[2])
        if packet.is_opening and self._is_lost():
            return

        def arrive():
            made = self._agents.get(number)
            if made is not None:
                take = made.handle_lookup if asks else made.handle_caller_packet
                self._execute_agent_actions(number, take(packet, own, self.now))

        self.schedule(self._latency(index, number), arrive)

    def _message_to_agent(self, index, own, action):
        message = action.message
        host = action.address.host
        if isinstance(message, messages.OwnerQuery | messages.OwnerAnswer):
            return
        if isinstance(message, messages.LookupRequest):
            self._to_agent(index, own, host, message.datagram.packet, asks=True)
            return
        number = int(host.rpartition(".")[2])
        if isinstance(message, messages.ReleaseFlow):
            self.schedule(
                self._latency(index, number), lambda: self._release(number, message)
            )
            return

        def arrive():
            made = self._agents.get(number)
            if made is not None:
                answer = made.handle_query(message.flows, own)
                self._execute_agent_actions(number, answer)

        self.schedule(self._latency(index, number), arrive)

    def _release(self, number, message):
        made = self._agents.get(number)
        if made is not None:
            decided = made.handle_release(
                message.flow, message.opening_sequence, self.now
            )
            self._execute_agent_actions(number, decided)

    def _latency(self, index, number):
        is_same_zone = index % ZONES == number % ZONES
        return IN_ZONE_LATENCY_SECONDS if is_same_zone else CROSS_ZONE_LATENCY_SECONDS

    def _execute_agent_actions(self, number, decided):
        for action in decided:
            if isinstance(action, actions.DeliverToServer):
                self._servers[number].handle_packet(action.datagram.packet)
            elif isinstance(action, actions.SendToCaller):
                packet = action.datagram.packet
                delay = CALLER_LATENCY_SECONDS + IN_ZONE_LATENCY_SECONDS
                self.schedule(delay, lambda p=packet: self._at_caller(p))
            elif isinstance(action, actions.Reset):
                self.schedule(
                    CALLER_LATENCY_SECONDS, lambda a=action: self._at_reset(a)
                )
            elif isinstance(action, actions.SendMessage):
                self._send_message(number, action)
            elif isinstance(action, actions.RecordHedge):
                self.hedges[action.outcome] += 1

    def _send_message(self, number, action):
        if isinstance(action.message, messages.Declined):
            self.declined += 1
            self.declined_cold += action.message.load.cold_allowance == 0
        index = int(action.address.host.rpartition(".")[2])
        peer = builders.agent_record(number).member.control_address

        def arrive():
            one = self._entries.get(index)
            if one is not None:
                heard = one.handle_message(peer, action.message, self.now)
                self._execute_entry_actions(index, heard)

        self.schedule(self._latency(index, number), arrive)

    def handle_server_packet(self, number, packet):
        """Pass a backend server's packet to its agent."""
        made = self._agents.get(number)
        if made is not None:
            decided = made.handle_server_packet(
                builders.with_linked_datagram(packet), self.now
            )
            self._execute_agent_actions(number, decided)


def kind_result(site, name, zone=None):
    """Return the outcomes of one kind of requests, in all zones where none is given."""
    total = Result()
    for (kind_name, kind_zone), result in site.kind_results.items():
        if kind_name == name and zone in (None, kind_zone):
            total.sent += result.sent
            total.on_time += result.on_time
            total.late += result.late
    return total


def _route_table(plan):
    table = plan.table
    if plan.cold_per_second <= 0:
        return table
    limit = routes.ColdLimit(0.0, plan.cold_per_second)
    return msgspec.structs.replace(table, cold_limits={builders.SERVICE: limit})


def most_opened_cold(site):
    """Return the most new flows that a cold server got in one second."""
    return max(
        bisect.bisect_right(times, at + 1.0) - index
        for times in (server.opened_cold_at for server in site.servers)
        for index, at in enumerate(times)
    )


def worst_windows(site, count=2):
    """Return the outcomes in the time windows with the lowest scores."""
    late_score = site.plan.late_score
    windows = [r for r in site.results.values() if r.sent]
    return sorted(windows, key=lambda r: r.score(late_score))[:count]
