"""The broker of the platform: the driver between checked requests, nodes and discovery."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial
from typing import Any

from heathwell import policy
from heathwell.broker.driver import Driver, Handle, Key, PartState, QueryState
from heathwell.broker.replies import ANSWERED, REFUSED, OnReply, Reply
from heathwell.codec import nodeframes as nf
from heathwell.gateway.config import Config
from heathwell.gateway.discovery import Discovery
from heathwell.gateway.nodes import NodeAsk, NodeLink, Room
from heathwell.gateway.requests import Wanted, WantedPart
from heathwell.gateway.targets import Targets, news_of, state_of
from heathwell.kernel import Loop, Net
from heathwell.observability.event_log import EventLog

MARGIN_US = 8_000  # of a client's time: the way here and back, and what the loop may be late by
SECOND = ".fetch"


@dataclass(slots=True)
class PlatformPart(PartState):
    """A part with its score, by which a second step's shards are chosen."""

    score: float = 0.0


@dataclass(slots=True)
class PlatformQuery(QueryState[PlatformPart]):
    """A query as its client asked for it; ``answered`` and ``whole`` are the first step's, once it
    has ended.
    """

    wanted: Wanted = Wanted("", 0, 0, "", False, b"", ())
    answered: tuple[int, ...] = ()
    whole: bool | None = None


class PlatformBroker(Driver[PlatformQuery]):
    """One broker on the platform. ``unix_us`` tells Unix time; it is read once, starts of nodes are counted
    from it.
    """

    links: dict[str, NodeLink]  # type: ignore[assignment]

    def __init__(
        self,
        loop: Loop,
        net: Net,
        config: Config,
        *,
        log: Callable[..., None],
        events: EventLog | None = None,
        unix_us: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        super().__init__(loop, config.settings, config.seed, name=config.name, events=events, log=log)
        self.net, self.config = net, config
        self.room = Room(config.node_sockets)
        self.addresses: dict[str, str] = {}
        self.passed: Counter[str] = Counter()  # figures of links that are gone
        self._boots: dict[str, float] = {}
        self._unix_offset = unix_us() - loop.now()
        self._note(config.known)
        self.watch = Discovery(
            loop,
            net,
            config.discovery,
            self.told,
            log,
            hold_us=config.hold_us,
            seed=config.seed,
            pushed=not config.settings.poll_mode,
            grace_us=config.settings.drain_grace_us,
            rev=config.known.rev if config.known.all and config.known.targets else None,
        )
        known = self._news(config.known, asked=False)
        # Where lists are pushed, what the agent has counts as told from a process's first moment, and what
        # was known may be older: nothing is sent by it before the agent has been heard, or can't be. Queries
        # wait for that.
        self._unheard = None if config.settings.poll_mode else known
        self.begin_service(self.watch, known.endpoints if self.ready else ())

    @property
    def ready(self) -> bool:
        """Whether there is a list to go by."""
        return self._unheard is None

    def begin(self, wanted: Wanted, on_reply: OnReply, arrived_us: int) -> Handle | None:
        """Take a checked request that arrived then; its one reply comes by ``on_reply``, never before this
        returns.

        What can't be held is refused at the door and never reaches the module; None is returned then.
        """
        spec = self.settings.classes[wanted.query_class]
        if self.is_full(len(wanted.parts)):
            self.counters["door", spec.name, "full"] += 1
            after = (
                min(spec.latency_objective_us, self.settings.max_retry_after_us)
                if self.settings.retry_advice_allowed
                else 0
            )
            self.loop.call_soon(
                on_reply, Reply(REFUSED, query_class=spec.name, retry_after_us=after, reason="full")
            )
            return None
        self.last_job += 1
        deadline = max(arrived_us + wanted.wait_us - MARGIN_US, arrived_us + self.settings.tick_us)
        query = PlatformQuery(
            wanted.id, self.last_job, wanted.query_class, arrived_us, deadline, on_reply, wanted=wanted
        )
        self.events(
            "take",
            q=query.id,
            req=query.id,
            key="",
            klass=spec.name,
            parts=len(wanted.parts),
            deadline=deadline - arrived_us,
            shards=[part.shard for part in wanted.parts],
        )
        handle = self.admit(query)
        hints = [part.hint_us for part in wanted.parts if part.hint_us is not None]
        self.enter(
            query,
            ((PlatformPart(f"{query.id}.{part.shard}", part, 1), part.hint_us) for part in wanted.parts),
            len(wanted.parts),
            sum(hints) if hints else None,
            wanted.retry,
            wanted.tenant,
        )
        return handle

    def told(self, targets: Targets | None) -> None:
        """Discovery's answer, None for a failure."""
        if self._unheard is not None:
            known, self._unheard = self._unheard, None
            self._push(known)
        if targets is None:
            self.on_endpoint_update(policy.EndpointUpdate(policy.UpdateKind.FAILED))
            return
        other = self._note(targets)
        self.on_endpoint_update(self._news(targets))
        # What waits for a connection is taken back after the news, so that it is placed anew by the list of
        # now.
        other |= {target.uid for target in targets.targets if state_of(target) != policy.EndpointState.LIVE}
        for node, link in list(self.links.items()):
            if node not in self.addresses:
                link.leave()
                if not link.connections:
                    self.passed.update(link.figures())
                    del self.links[node]
                continue
            link.move(self.addresses[node])
            if node in other:
                link.take_back()

    def _news(self, targets: Targets, asked: bool = True) -> policy.EndpointUpdate:
        return news_of(targets, self.config.zones, self.settings.replica_groups, self._unix_offset, asked)

    def _note(self, targets: Targets) -> set[str]:
        """Where each listed node is met, and since when it runs; those that are another process now, which is
        cold.
        """
        restarted = {
            target.uid
            for target in targets.targets
            if self._boots.get(target.uid, target.boot_ms) != target.boot_ms
        }
        if targets.all:
            self.addresses, self._boots = {}, {}
        for target in targets.targets:
            if target.state == "removed":
                self.addresses.pop(target.uid, None)
                self._boots.pop(target.uid, None)
            else:
                self.addresses[target.uid], self._boots[target.uid] = target.endpoint, target.boot_ms
        return restarted

    # What the driver asks for.

    def new_link(self, node: str) -> NodeLink:
        """The link to a node where it is listed now."""
        return NodeLink(
            self.loop,
            self.net,
            node,
            self.addresses.get(node, ""),
            self,
            self.config.connections,
            self.room,
            self.log,
        )

    def attempt_request(self, query: PlatformQuery, part: PlatformPart, seq: int, left_us: int) -> NodeAsk:
        """A part's line and text."""
        second = part.step == 2
        return NodeAsk(
            part.id,
            seq,
            partial(
                nf.part_call,
                part.id,
                part.plan.shard,
                text=query.wanted.text,
                key=query.wanted.key,
                answered=query.answered if second else (),
                whole=query.whole if second else None,
            ),
            self.loop.now() + left_us,
        )

    def on_part_answered(self, query: PlatformQuery, part: PlatformPart, key: Key, result: Any) -> None:
        """Its score chooses among the shards of a second step."""
        part.score = result.score

    def second_step(self, query: PlatformQuery, whole: bool) -> Iterator[tuple[PlatformPart, int | None]]:
        """Parts at the shards of the highest scores among those in."""
        answered = [part for part in query.parts.values() if part.data is not None]
        query.answered, query.whole = tuple(sorted(part.plan.shard for part in answered)), whole
        best = sorted(answered, key=lambda part: -part.score)[: self._query_class(query).second_step_parts]
        for part in best:
            yield (PlatformPart(part.id + SECOND, WantedPart(part.plan.shard, 1 / len(best), None), 2), None)

    def merge(self, query: PlatformQuery, whole: bool) -> Reply:
        """The values of the last step's parts that are in, as nodes gave them."""
        rows = [
            {"id": part.plan.shard, "data": part.data.decode("ascii")}
            for part in query.parts.values()
            if part.step == query.step and part.data is not None
        ]
        return Reply(
            ANSWERED, query.id, self._query_class(query).name, whole, body={"exact": whole, "rows": rows}
        )

    def on_reply_made(self, query: PlatformQuery, reply: Reply, took_us: int) -> None:
        """The event log hears of it."""
        if self.events.on:  # the lists are a cost that only a log pays for
            used = {part.id: part.seq for part in query.parts.values() if part.data is not None}
            self.events(
                "final",
                q=query.id,
                kind=reply.kind,
                whole=reply.complete,
                after=reply.retry_after_us,
                took=took_us,
                parts=list(used),
                used=used,
            )
