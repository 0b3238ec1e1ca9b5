"""The server of a quota coordinator: the I/O for `heathwell.fleet.quotas.QuotaCoordinator`.

It owns the listener, the connections of members and peers, the links to the other coordinators and the timer.
Decisions are made by that coordinator and by the `EvacuationCoordinator`. Nothing is stored on disk. Imports:
`heathwell.fleet` (membership, quotas), the inner protocol and the event loop.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import Coro, Listener, Loop, Net, Stream
from heathwell.fleet.control import messages
from heathwell.fleet.control.evacuation_coordinator import EvacuationCoordinator
from heathwell.fleet.control.link import COORDINATOR_ROLE, ControlLink
from heathwell.fleet.membership import MemberEntry, MemberState, MemberTransition
from heathwell.fleet.quotas import (
    Budget,
    QuotaCoordinator,
    QuotaError,
    QuotaRenewalReply,
)
from heathwell.observability.event_log import EventLog, NullEventLog

TICKS_PER_LEASE = 12  # renewals within the duration of a fraction's lease, so that some requests may be lost
SILENCE_TIMEOUTS_PER_LEASE = 2  # a peer that is silent for half a fraction lease counts as lost
SEEDS_PER_COORDINATOR = 64  # each link of a coordinator has its own seed
MAX_CONNECTIONS = 4_096
LEADER_FRACTION = 0  # the holder of its lease is the leader, which decides on zone evacuation
DecisionCarrier = TypeVar("DecisionCarrier", frames.RenewalReply, frames.LeaseRequest, frames.LeaseVote)


class QuotaCoordinatorServer:
    """One incarnation of a quota coordinator.

    ``peers`` are the other coordinators' addresses by number; ``evacuation`` is None if zone evacuation is
    off; ``fleet`` is the fleet's name: a peer that introduces itself with another name is refused.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        coordinator: QuotaCoordinator,
        peers: dict[int, str],
        *,
        seed: int,
        log: Callable[..., None],
        events: EventLog | None = None,
        evacuation: EvacuationCoordinator | None = None,
        fleet: str = "",
    ) -> None:
        self.loop = loop
        self.net = net
        self.coordinator = coordinator
        self.log = log
        self.events: EventLog = events or NullEventLog()
        self.evacuation = evacuation
        self.fleet = fleet
        self.name = f"k{coordinator.number}"
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.streams: dict[Stream, str] = {}  # the peer's name by connection, "" before its hello
        self.listener: Listener | None = None
        self._held_fractions: list[int] = []
        self._tick_interval_us = coordinator.timings.fraction_lease.duration_us // TICKS_PER_LEASE
        self.peers = {number: self._link(number, address, seed) for number, address in peers.items()}
        self.loop.call_soon(self._tick)

    def _link(self, number: int, address: str, seed: int) -> ControlLink:
        """Return a link to another coordinator."""
        return ControlLink(
            self.loop,
            self.net,
            address,
            str(self.coordinator.number),
            COORDINATOR_ROLE,
            silence_timeout_us=self.coordinator.timings.fraction_lease.duration_us
            // SILENCE_TIMEOUTS_PER_LEASE,
            seed=seed * SEEDS_PER_COORDINATOR + number,
            on_message=partial(self._on_peer_message, number),
            log=self.log,
            fleet=self.fleet,
        )

    def start(self, listen: str) -> str:
        """Listen on an address; return the address in use."""
        self.listener = self.net.listen(listen, self._serve, self.name, MAX_CONNECTIONS)
        return self.listener.address

    def close(self) -> None:
        """Close the listener, the links and all connections."""
        if self.listener is not None:
            self.listener.close()
        for link in self.peers.values():
            link.close()
        for stream in list(self.streams):
            stream.abort()

    def resize(self, budgets: Iterable[Budget]) -> list[QuotaError]:
        """Apply changed budgets; return the errors of those that cannot be resized."""
        errors = []
        for budget in budgets:
            try:
                old = self.coordinator.resize(budget)
            except QuotaError as error:
                errors.append(error)
                continue
            if budget != old:
                self.events("resized", budget=budget.name, whole=budget.total)
                self.log("info", "budget resized", budget=budget.name, before=old.total, after=budget.total)
        return errors

    def _tick(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + self._tick_interval_us, self._tick)
        tick = self.coordinator.tick(now)
        self._log_transitions(tick.transitions)
        if self.evacuation is not None:
            self._tick_evacuation(now, self.evacuation)
        for request in tick.lease_requests:
            for link in self.peers.values():
                link.send(self._with_decision(messages.lease_request_to_frame(request)))
        self._log_held_fractions(now)

    def _tick_evacuation(self, now: int, evacuation: EvacuationCoordinator) -> None:
        """Make decisions on zones if this coordinator is the leader, and log the transitions."""
        is_leader = LEADER_FRACTION in self.coordinator.held_fractions(now)
        for transition in evacuation.tick(now, is_leader=is_leader):
            decision = evacuation.decision
            states = {
                name: [directive.state, directive.traffic_share] for name, directive in decision.zones.items()
            }
            self.events(
                "zones", term=decision.term, number=decision.number, why=str(transition), states=states
            )
            self.log(
                "warning",
                "zone",
                change=str(transition),
                decision=f"({decision.term}, {decision.number})",
            )

    def _with_decision(self, message: DecisionCarrier) -> DecisionCarrier:
        """Add the current decision on zones to a message, so that every process forwards it."""
        if self.evacuation is not None:
            message.decision = messages.decision_to_frame(self.evacuation.decision)
        return message

    def _on_zone_state(
        self, now: int, message: frames.RenewalRequest | frames.LeaseRequest | frames.LeaseVote
    ) -> None:
        """Apply the decision that the sender follows, and a broker's report."""
        if self.evacuation is None:
            return
        self.evacuation.on_decision(messages.decision_from_frame(message.decision))
        if isinstance(message, frames.RenewalRequest):
            self.evacuation.on_report(now, messages.broker_report_from_frame(message))

    def _log_held_fractions(self, now: int) -> None:
        """Log the fractions whose lease this coordinator holds, if they have changed."""
        held = self.coordinator.held_fractions(now)
        if held == self._held_fractions:
            return
        remaining_us = self.coordinator.held_fraction_remaining_us(now)
        self.events(
            "owns",
            fractions=held,
            left={str(fraction): left_us for fraction, left_us in remaining_us.items()},
        )
        self.log("info", "held fractions changed", before=self._held_fractions, after=held)
        self._held_fractions = held

    # Connections: brokers' renewals, other coordinators' lease requests, operators' commands.

    def _serve(self, stream: Stream) -> Coro[None]:
        self.streams[stream] = ""
        try:
            yield from inner_protocol.serve(
                stream,
                self.name,
                COORDINATOR_ROLE,
                partial(self._on_message, stream),
                messages.MAX_MESSAGE_BYTES,
            )
        except frames.FrameError as problem:
            self.counts["garbled",] += 1
            self.log(
                "warning", "control connection closed: invalid frame", peer=stream.peer, why=str(problem)
            )
        finally:
            del self.streams[stream]

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        if stream.closed:
            return
        if stream.unsent > messages.MAX_MESSAGE_BYTES:
            self.counts["unread",] += 1
            stream.abort()  # the peer does not read, so replies are lost anyway
            return
        if isinstance(message, frames.Hello):
            self._on_hello(stream, message)
            return
        reply = self._reply_to(self.loop.now(), self.streams[stream], message)
        if reply is not None:
            stream.try_write(frames.encode(reply))

    def _on_hello(self, stream: Stream, hello: frames.Hello) -> None:
        """Record the peer's name. Refuse a peer of another fleet, which may have used this address before."""
        if hello.fleet and hello.fleet != self.fleet:
            self.counts["other fleet",] += 1
            self.log(
                "error",
                "control connection refused: peer of another fleet",
                peer=hello.name,
                theirs=hello.fleet,
                ours=self.fleet,
            )
            refusal = frames.VersionMismatch(f"this is a quota coordinator of fleet '{self.fleet}'")
            stream.try_write(frames.encode(refusal))
            stream.close()
        self.streams[stream] = hello.name

    def _reply_to(self, now: int, peer: str, message: frames.AnyMessage) -> frames.Message | None:
        """Return the reply to a message, if there is one."""
        match message:
            case frames.RenewalRequest():
                self._on_zone_state(now, message)
                reply = self._renew(now, message)
                return self._with_decision(messages.renewal_reply_to_frame(reply))
            case frames.LeaseRequest():
                return self._vote(now, peer, message)
            case frames.OperatorCommand() if self.evacuation is not None:
                return self.evacuation.on_operator_command(now, message)
            case frames.FleetRequest():
                return self.view(now)
            case _:
                self.counts["unasked",] += 1
                return None

    def _vote(self, now: int, peer: str, message: frames.LeaseRequest) -> frames.LeaseVote | None:
        """Return this coordinator's vote; None if the peer is not one: their names are numbers."""
        if not peer.isdecimal():
            return None
        self._on_zone_state(now, message)
        request = messages.lease_request_from_frame(message)
        vote = self.coordinator.on_lease_request(now, int(peer), request)
        return self._with_decision(messages.lease_vote_to_frame(vote))

    def _renew(self, now: int, message: frames.RenewalRequest) -> QuotaRenewalReply:
        """Renew a member's grants, and write them to the event log before the reply is sent."""
        outcome = self.coordinator.on_renewal(now, messages.renewal_from_frame(message))
        self.counts["renewals",] += 1
        self._log_transitions(outcome.transitions)
        if self.events.is_enabled:
            self._log_grants(message, outcome.reply)
            self.events.flush()
        return outcome.reply

    def _log_grants(self, message: frames.RenewalRequest, reply: QuotaRenewalReply) -> None:
        for grant in reply.grants:
            if grant.amount:
                self.events(
                    "gives",
                    to=message.name,
                    inc=message.incarnation,
                    budget=grant.budget,
                    fraction=grant.fraction,
                    number=grant.number,
                    amount=grant.amount,
                    length=grant.duration_us,
                )

    def _on_peer_message(self, number: int, message: frames.AnyMessage) -> None:
        """Record a vote of the coordinator ``number``."""
        if not isinstance(message, frames.LeaseVote):
            return
        now = self.loop.now()
        self._on_zone_state(now, message)
        self.coordinator.on_lease_vote(now, number, messages.lease_vote_from_frame(message))
        self._log_held_fractions(now)

    def _log_transitions(self, transitions: list[MemberTransition]) -> None:
        for transition in transitions:
            before = transition.before.value if transition.before is not None else None
            is_failure = transition.after in (MemberState.SUSPECT, MemberState.DEAD)
            self.counts["member", transition.after.value] += 1
            self.events(
                "member",
                name=transition.name,
                inc=transition.incarnation,
                before=before or "",
                after=transition.after.value,
                why=transition.reason,
            )
            self.log(
                "warning" if is_failure else "info",
                "member",
                member=transition.name,
                incarnation=transition.incarnation,
                before=before or "-",
                after=transition.after.value,
                why=transition.reason,
            )

    def view(self, now: int) -> frames.FleetView:
        """Return this coordinator's members, budgets and grants; durations (us) are relative to ``now``."""
        return frames.FleetView(
            self.name,
            self.coordinator.incarnation,
            self.coordinator.held_fraction_remaining_us(now),
            [_member_status(now, entry) for entry in self.coordinator.membership.entries.values()],
            [_quota_status(budget) for budget in self.coordinator.budgets.values()],
            self._member_shares(now),
        )

    def _member_shares(self, now: int) -> list[frames.MemberShare]:
        """Return what each member may hold, by budget, fraction and member."""
        return [
            frames.MemberShare(
                budget,
                fraction,
                member,
                account.current_charge(now),
                max((grant.expires_at_us for grant in account.grants.values()), default=now) - now,
                account.request.demand,
            )
            for (budget, fraction), ledger in sorted(self.coordinator.ledgers.items())
            for member, account in sorted(ledger.accounts.items())
        ]


def _member_status(now: int, entry: MemberEntry) -> frames.MemberStatus:
    return frames.MemberStatus(
        entry.name,
        entry.incarnation,
        entry.state.value,
        now - entry.joined_at_us,
        now - entry.state_changed_at_us,
        now - entry.last_report_at_us,
        entry.zone,
        entry.version,
        entry.digest,
    )


def _quota_status(budget: Budget) -> frames.QuotaStatus:
    return frames.QuotaStatus(
        budget.name,
        budget.kind.value,
        budget.total,
        budget.reserved,
        budget.max_brokers,
        budget.scope_kind,
        budget.uncounted,
    )
