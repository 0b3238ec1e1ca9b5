"""The process that keeps the fleet's roll and lends its budgets: the pure keeper, on sockets."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeVar

from heathwell import inner_protocol
from heathwell.codec import frames
from heathwell.fleet.control import messages
from heathwell.fleet.control.evacuation_coordinator import EvacuationCoordinator
from heathwell.fleet.control.link import ControlLink
from heathwell.fleet.membership import MemberState, MemberTransition
from heathwell.fleet.quotas import (
    Budget,
    QuotaCoordinator,
    QuotaError,
    QuotaRenewalReply,
)
from heathwell.kernel import Coro, Listener, Loop, Net, Stream
from heathwell.observability.event_log import EventLog, NoEvents

TICKS = 12  # of a promise: how often claims are made anew, so that some may be lost
CONNECTIONS = 4_096
COORDINATOR_ROLE, MEMBER_ROLE = "keeper", "member"
Carries = TypeVar("Carries", frames.RenewalReply, frames.LeaseRequest, frames.LeaseVote)


class QuotaCoordinatorServer:
    """One run of a keeper. ``peers`` are the other keepers' addresses by number."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        keeper: QuotaCoordinator,
        peers: dict[int, str],
        *,
        seed: int,
        log: Callable[..., None],
        events: EventLog | None = None,
        zones: EvacuationCoordinator | None = None,
        fleet: str = "",
    ) -> None:
        self.loop, self.net, self.coordinator, self.log = loop, net, keeper, log
        self.events: EventLog = events or NoEvents()
        self.name = f"k{keeper.number}"
        self.counts: Counter[tuple[str, ...]] = Counter()
        self.streams: dict[Stream, str] = {}
        self.listener: Listener | None = None
        self.evacuation, self.fleet = zones, fleet
        self._held_fractions: list[int] = []
        self._tick_us = keeper.timings.fraction_lease.duration_us // TICKS
        self.peers = {
            number: ControlLink(
                loop,
                net,
                address,
                str(keeper.number),
                COORDINATOR_ROLE,
                silence_us=keeper.timings.fraction_lease.duration_us // 2,
                seed=seed * 64 + number,
                on_message=partial(self._on_peer_message, number),
                log=log,
                fleet=fleet,
            )
            for number, address in peers.items()
        }
        self.loop.call_soon(self._tick)

    def start(self, listen: str) -> str:
        """Open the door; returns its address."""
        self.listener = self.net.listen(listen, self._serve, self.name, CONNECTIONS)
        return self.listener.address

    def close(self) -> None:
        """Close the door and all connections."""
        if self.listener is not None:
            self.listener.close()
        for link in self.peers.values():
            link.close()
        for stream in list(self.streams):
            stream.abort()

    def resize(self, budgets: Iterable[Budget]) -> list[str]:
        """Other wholes from now on; what can't be done is returned, and the rest is."""
        problems = []
        for budget in budgets:
            try:
                old = self.coordinator.resize(budget)
            except QuotaError as problem:
                problems.append(str(problem))
            else:
                if budget != old:
                    self.events("resized", budget=budget.name, whole=budget.total)
                    self.log(
                        "info", "budget resized", budget=budget.name, before=old.total, after=budget.total
                    )
        return problems

    def _tick(self) -> None:
        now = self.loop.now()
        self.loop.call_at(now + self._tick_us, self._tick)
        tick = self.coordinator.tick(now)
        self._log_transitions(tick.transitions)
        if self.evacuation is not None:
            for transition in self.evacuation.tick(now, 0 in self.coordinator.held_fractions(now)):
                decision = self.evacuation.decision
                self.events(
                    "zones",
                    term=decision.term,
                    number=decision.number,
                    why=str(transition),
                    states={
                        name: [directive.state, directive.traffic_share]
                        for name, directive in decision.zones.items()
                    },
                )
                self.log(
                    "warning",
                    "zone",
                    change=str(transition),
                    decision=f"({decision.term}, {decision.number})",
                )
        for claim in tick.lease_requests:
            for link in self.peers.values():
                link.send(self._with_decision(messages.lease_request_to_frame(claim)))
        self._log_held_fractions(now)

    def _with_decision(self, message: Carries) -> Carries:
        """A message with what is decided of the zones, so that each keeper can tell it."""
        if self.evacuation is not None:
            message.decision = messages.decision_to_frame(self.evacuation.decision)
        return message

    def _on_zone_state(
        self, now: int, message: frames.RenewalRequest | frames.LeaseRequest | frames.LeaseVote
    ) -> None:
        """What others go by."""
        if self.evacuation is not None:
            self.evacuation.on_decision(messages.decision_from_frame(message.decision))
            if isinstance(message, frames.RenewalRequest):
                self.evacuation.on_report(now, messages.broker_report_from_frame(message))

    def _log_held_fractions(self, now: int) -> None:
        owned = self.coordinator.held_fractions(now)
        if owned != self._held_fractions:
            self.events(
                "owns",
                fractions=owned,
                left={
                    str(fraction): remaining_us
                    for fraction, remaining_us in self.coordinator.held_fraction_remaining_us(now).items()
                },
            )
            self.log("info", "fractions owned", before=self._held_fractions, after=owned)
            self._held_fractions = owned

    # Connections: brokers' renewals, other keepers' claims, questions.

    def _serve(self, stream: Stream) -> Coro[None]:
        self.streams[stream] = ""
        try:
            yield from inner_protocol.serve(
                stream,
                self.name,
                COORDINATOR_ROLE,
                lambda message: self._on_message(stream, message),
                messages.MAX_MESSAGE_BYTES,
            )
        except frames.FrameError as problem:
            self.counts["garbled",] += 1
            self.log("warning", "control: not our wire", peer=stream.peer, why=str(problem))
        finally:
            del self.streams[stream]

    def _on_message(self, stream: Stream, message: frames.AnyMessage) -> None:
        now = self.loop.now()
        if stream.closed:
            return
        if stream.unsent > messages.MAX_MESSAGE_BYTES:
            self.counts["unread",] += 1
            stream.abort()  # it reads nothing: what it is told is lost anyway
            return
        match message:
            case frames.Hello(name=name, fleet=fleet):
                if fleet and fleet != self.fleet:  # an address may come to be another fleet's
                    self.counts["other fleet",] += 1
                    self.log("error", "control: of another fleet", peer=name, theirs=fleet, ours=self.fleet)
                    stream.offer(
                        frames.encode(frames.VersionMismatch(f"this is a keeper of fleet '{self.fleet}'"))
                    )
                    stream.close()
                self.streams[stream] = name
            case frames.RenewalRequest():
                self._on_zone_state(now, message)
                stream.offer(
                    frames.encode(
                        self._with_decision(messages.renewal_reply_to_frame(self._renew(now, message)))
                    )
                )
            case frames.LeaseRequest():
                if self.streams[stream].isdecimal():
                    self._on_zone_state(now, message)
                    vote = self.coordinator.on_lease_request(
                        now, int(self.streams[stream]), messages.lease_request_from_frame(message)
                    )
                    stream.offer(frames.encode(self._with_decision(messages.lease_vote_to_frame(vote))))
            case frames.OperatorCommand() if self.evacuation is not None:
                stream.offer(frames.encode(self.evacuation.on_operator_command(now, message)))
            case frames.FleetRequest():
                stream.offer(frames.encode(self.view(now)))
            case _:
                self.counts["unasked",] += 1

    def _renew(self, now: int, message: frames.RenewalRequest) -> QuotaRenewalReply:
        outcome = self.coordinator.on_renewal(now, messages.renewal_from_frame(message))
        answer = outcome.reply
        self.counts["renewals",] += 1
        self._log_transitions(outcome.transitions)
        if self.events.on:
            for grant in answer.grants:
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
            self.events.flush()  # type: ignore[attr-defined]  # on record before it is on its way
        return answer

    def _on_peer_message(self, number: int, message: frames.AnyMessage) -> None:
        if isinstance(message, frames.LeaseVote):
            now = self.loop.now()
            self._on_zone_state(now, message)
            self.coordinator.on_lease_vote(now, number, messages.lease_vote_from_frame(message))
            self._log_held_fractions(now)

    def _log_transitions(self, changes: list[MemberTransition]) -> None:
        for change in changes:
            self.counts["member", change.after.value] += 1
            self.events(
                "member",
                name=change.name,
                inc=change.incarnation,
                before=change.before.value if change.before is not None else "",
                after=change.after.value,
                why=change.reason,
            )
            self.log(
                "warning" if change.after in (MemberState.SUSPECT, MemberState.DEAD) else "info",
                "member",
                member=change.name,
                incarnation=change.incarnation,
                before=change.before.value if change.before is not None else "-",
                after=change.after.value,
                why=change.reason,
            )

    def view(self, now: int) -> frames.FleetView:
        """What this keeper knows, for those who look."""
        keeper = self.coordinator
        shares = [
            frames.MemberShare(
                name,
                fraction,
                member,
                given.current_charge(now),
                max((held.expires_at_us for held in given.grants.values()), default=now) - now,
                given.request.demand,
            )
            for (name, fraction), ledger in sorted(keeper.ledgers.items())
            for member, given in sorted(ledger.accounts.items())
        ]
        return frames.FleetView(
            self.name,
            keeper.incarnation,
            keeper.held_fraction_remaining_us(now),
            [
                frames.MemberStatus(
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
                for entry in keeper.membership.entries.values()
            ],
            [
                frames.QuotaStatus(
                    budget.name,
                    budget.kind.value,
                    budget.total,
                    budget.reserved,
                    budget.max_brokers,
                    budget.scope_kind,
                    budget.uncounted,
                )
                for budget in keeper.budgets.values()
            ],
            shares,
        )
