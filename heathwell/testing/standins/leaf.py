"""A stand-in shard host: slots, a queue, cold starts, falls by the rule's figures, and trouble on order.

Work takes time and no processor: a part holds a slot for its work over the host's present speed.
"""

from __future__ import annotations

import contextlib
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from heathwell.codec import frames, inner_protocol
from heathwell.eventloop import (
    ConnectError,
    Coro,
    Listener,
    Loop,
    Net,
    Stream,
    StreamBrokenError,
    Task,
    Timer,
    sleep,
)
from heathwell.observability.event_log import EventLog, NoEvents
from heathwell.service.vectors.search_messages import (
    SEARCH_OPERATION,
    SearchRequest,
    decode_request,
    encode_search,
)
from heathwell.settings import ServiceSettings
from heathwell.testing.standins import data
from heathwell.testing.standins.source import Feed, Truth

REGISTER_AGAIN_US = 200_000
QUIET_LOOK_US = 50_000
POISON = "poison"
TROUBLES = (
    "stall",
    "slow",
    "silent",
    "midreply",
    "lose",
    "refuse",
    "failclass",
    "reset",
    "drain",
    "die",
    "heal",
    "lag",
    "stuck",
    "back",
    "lie",
    "spoil",
)
LAGS = ("lag", "stuck", "back", "lie")
Key = tuple[str, int]


@dataclass(slots=True)
class Job:
    """An attempt that has arrived."""

    ask: frames.PartRequest
    stream: Stream
    came: int
    broker: str
    timer: Timer | None = None
    search: SearchRequest | None = None
    work_us: int = 0
    rows: list[list[tuple[int | str, float]]] | None = None


@dataclass(slots=True)
class Trouble:
    """What is wrong until when."""

    until: int = 0
    value: float = 0.0
    text: str = ""


@dataclass(slots=True)
class Held:
    """Bytes kept back from a stream while the host stands still."""

    chunks: list[bytes] = field(default_factory=list)


class Leaf:
    """One host. ``warm`` starts it at its full capacity; every later :meth:`start` is cold."""

    def __init__(
        self,
        loop: Loop,
        net: Net,
        service_settings: ServiceSettings,
        *,
        name: str,
        cell: int,
        zone: int,
        discovery: str,
        seed: int,
        address: str = "127.0.0.1:0",
        events: EventLog | None = None,
        on_die: Callable[[], None] | None = None,
        speed: float | None = None,
    ) -> None:
        self.loop, self.net, self.service_settings, self.name = loop, net, service_settings, name
        self.cell, self.zone, self.discovery, self.address = cell, zone, discovery, address
        self.events: EventLog = events or NoEvents()
        self.random = random.Random(seed)
        self.speed = speed or service_settings.leaf.speed
        self.on_die = on_die
        self.classes = {spec.name: spec for spec in service_settings.classes}
        self.collections = {spec.name: spec for spec in service_settings.collections}
        if self.collections:
            # Only hosts of vectors pay for the libraries; all shards are at hand before the door opens.
            from heathwell.testing.standins.vectors import shard_of  # noqa: PLC0415

            self.shard_of = shard_of
            for spec in service_settings.collections:
                for number in range(service_settings.fleet.shards):
                    if self._holds(number):
                        shard_of(spec, number, service_settings.fleet.shards)
        self.listener: Listener | None = None
        self.running: dict[Key, Job] = {}
        self.queue: deque[Job] = deque()
        self.troubles: dict[str, Trouble] = {}
        self.peers: dict[Stream, frames.Hello] = {}
        self.held: dict[Stream, Held] = {}
        self.spoke: dict[
            Stream, int
        ] = {}  # when something came last, of those that may be closed for their silence
        self._looks_at_quiet = False
        self.effects: dict[str, tuple[int, bytes]] = {}
        self.recent: deque[tuple[int, float]] = deque()
        self.pressure = 0.0
        self.started_cold = 0
        self.birth = 0
        self.fallen = self.draining = False
        self.reported = (0, 0)
        self.served = 0
        fresh = service_settings.freshness
        self.feed = Feed(Truth(fresh.rate), fresh.lag, random.Random(seed + 1)) if fresh.enabled else None
        self._registrar: Task[None] | None = None
        self._registered: Stream | None = None

    # Life

    def start(self, warm: bool = False) -> str:
        """Open the door and register; returns the address."""
        self.listener = self.net.listen(self.address, self._serve, f"leaf {self.name}")
        self.address = self.listener.address
        self.birth = self.random.getrandbits(48)
        self.started_cold = 0 if warm else self.loop.now()
        self.fallen = self.draining = False
        self.troubles.clear()
        self.recent.clear()
        self.pressure = 0.0
        self.events(
            "up", node=self.address, cell=self.cell, zone=self.zone, cold=not warm, rate=self._full_rate()
        )
        self._registrar = self.loop.spawn(self._register(), f"leaf {self.name} register")
        return self.address

    def crash(self) -> None:
        """Gone at once: connections reset, all state lost."""
        self.events("down", node=self.address)
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        if self._registrar is not None:
            self._registrar.cancel()
        for stream in list(self.peers):
            stream.abort()
        for job in self.running.values():
            if job.timer is not None:
                job.timer.cancel()
        self.running.clear()
        self.queue.clear()
        self.held.clear()
        self.peers.clear()
        self.spoke.clear()
        self.effects.clear()

    def drain(self) -> None:
        """Tell everyone, finish what is here, then leave."""
        if self.draining:
            return
        self.draining = True
        self.events("drain", node=self.address)
        frame = frames.encode(frames.DrainNotice())
        for stream in list(self.peers):
            self._put(stream, frame)
        if self._registered is not None:
            self._put(self._registered, frame)
        self.loop.call_at(self.loop.now() + self.service_settings.leaf.drain_for, self._die)

    def order(self, control: frames.FaultCommand) -> str:
        """Make trouble as told; returns an error's text, or nothing."""
        kind, now = control.kind, self.loop.now()
        if kind not in TROUBLES:
            return f"unknown trouble '{kind}'; known: {', '.join(TROUBLES)}"
        self.events("trouble", node=self.address, kind=kind, value=control.value, span=control.span_us)
        if kind == "heal":
            self.troubles.clear()
            self._release()
        elif kind == "reset":
            for stream in [s for s in self.peers if self._from_broker(s)]:
                stream.abort()
        elif kind == "drain":
            self.drain()
        elif kind in LAGS:
            if self.feed is None:
                return f"'{kind}' needs (freshness (on yes))"
            self.feed.advance(now)
            self.feed.trouble(kind, now, int(control.value * 1e6), control.span_us)
        elif kind == "die":
            self.loop.call_soon(self._die)
        else:
            self.troubles[kind] = Trouble(now + control.span_us, control.value, control.text)
            if kind in ("stall", "midreply"):
                self.loop.call_at(now + control.span_us, self._release)
        return ""

    def _die(self) -> None:
        if self.listener is None:
            return
        self.crash()
        if self.on_die is not None:
            self.on_die()

    def _from_broker(self, stream: Stream) -> bool:
        peer = self.peers.get(stream)
        return peer is not None and peer.role in ("", "broker")

    def _has(self, kind: str) -> Trouble | None:
        trouble = self.troubles.get(kind)
        return trouble if trouble is not None and self.loop.now() < trouble.until else None

    # Capacity

    def warmth(self) -> float:
        """The share of its capacity that the host has now."""
        rules = self.service_settings.rules
        if not self.started_cold or not rules.warm_within:
            return 1.0
        age = (self.loop.now() - self.started_cold) / rules.warm_within
        return min(1.0, rules.start_capacity + (1 - rules.start_capacity) * age)

    def _full_rate(self) -> float:
        """Work, in seconds, that the warm host does in a second."""
        return self.service_settings.leaf.slots * self.speed

    def _press(self, work_us: float) -> None:
        """Count arriving work against the cold budget: over it for the stated time, the host falls."""
        rules = self.service_settings.rules
        if not rules.fall_after or self.warmth() >= 1.0:
            return
        now = self.loop.now()
        self.recent.append((now, work_us))
        self.pressure += work_us
        while self.recent and self.recent[0][0] <= now - rules.fall_after:
            self.pressure -= self.recent.popleft()[1]
        most = rules.fall_multiple * self._full_rate() * self.warmth() * rules.fall_after
        if self.pressure > most and not self.fallen:
            self.fallen = True
            self.events("fell", node=self.address, pressure=self.pressure / most)

    # The wire

    def _serve(self, stream: Stream) -> Coro[None]:
        try:
            yield from inner_protocol.serve(
                stream, self.name, "leaf", lambda message: self._heard(stream, message)
            )
        except frames.FrameError as problem:
            self.events("garbled", peer=stream.peer, why=str(problem))
        finally:
            peer = self.peers.pop(stream, None)
            self.held.pop(stream, None)
            self.spoke.pop(stream, None)
            if peer is not None:
                self.events("unmet", node=self.address, peer=peer.name, role=peer.role, open=len(self.peers))

    def _look_at_quiet(self) -> None:
        """Close what its broker let be closed: nothing came over it for the time that it said itself."""
        now = self.loop.now()
        for stream, at in list(self.spoke.items()):
            if now - at >= self.peers[stream].quiet_us:
                self.events("quiet", node=self.address, peer=self.peers[stream].name)
                stream.abort()
        if self.listener is not None and self.spoke:
            self.loop.call_at(now + QUIET_LOOK_US, self._look_at_quiet)
            return
        self._looks_at_quiet = False

    def _heard(self, stream: Stream, message: frames.AnyMessage) -> None:
        if stream in self.spoke:
            self.spoke[stream] = self.loop.now()
        match message:
            case frames.Hello():
                self.peers[stream] = message
                self.events(
                    "met", node=self.address, peer=message.name, role=message.role, open=len(self.peers)
                )
                if message.quiet_us:
                    self.spoke[stream] = self.loop.now()
                    if not self._looks_at_quiet:
                        self._looks_at_quiet = True
                        self._look_at_quiet()
                if self.draining:
                    self._put(stream, frames.encode(frames.DrainNotice()))
            case frames.Call():
                for ask in message.parts:
                    self._arrived(Job(ask, stream, self.loop.now(), self.peers[stream].name))
            case frames.CancelPart(id=part, seq=seq):
                self._cancelled((part, seq))
            case frames.Ping(number=number):
                if not self.fallen and not self._has("silent"):
                    self._put(stream, frames.encode(frames.Pong(number, self._inflight())))
            case frames.FaultCommand():
                stream.write(frames.encode(frames.FaultCommandReply(self.order(message))))

    def _arrived(self, job: Job) -> None:
        ask = job.ask
        spec = self.classes.get(ask.query_class)
        self.events(
            "arrive",
            p=ask.id,
            seq=ask.seq,
            klass=ask.query_class,
            shard=ask.shard,
            broker=job.broker,
            node=self.address,
            left=ask.left_us,
            warmth=round(self.warmth(), 4),
        )
        work = float(spec.work) if spec is not None else 0.0
        if ask.op == SEARCH_OPERATION and spec is not None:
            try:
                work = self._searched(job)
            except (ValueError, KeyError, msgspec.MsgspecError) as problem:
                self.events("garbled", peer=job.broker, why=repr(problem))
                self._reply(job, "error")
                return
        self._press(work)
        if POISON in ask.key:
            self.loop.call_soon(self._die)
            return
        if self.fallen or self._has("silent"):
            return
        if job.search is not None and self._holds(ask.shard):
            self._tell_bound(job, job.search)
        failing = self._has("failclass")
        fails = failing is not None and failing.text == ask.query_class
        if fails or spec is None or not self._holds(ask.shard):
            self._reply(job, "error")
        elif self.draining or self._has("refuse"):
            self._reply(job, "full")
        elif len(self.running) < self.service_settings.leaf.slots:
            self._begin(job)
        elif len(self.queue) < self.service_settings.leaf.queue:
            self.queue.append(job)
        else:
            self._reply(job, "full")

    def _searched(self, job: Job) -> float:
        """Read a search; its usual work (us): a product shared by all searches, rows to rank, filters to
        apply.
        """
        job.search = search = decode_request(job.ask.body)
        spec = self.collections[search.collection]
        rows = sum(want.limit for want in search.searches)
        filtered = sum(want.filter is not None for want in search.searches)
        return spec.work * (0.6 + 0.4 * len(search.searches) + 0.1 * rows / 100 + 0.2 * filtered)

    def _tell_bound(self, job: Job, search: SearchRequest) -> None:
        """Before the queue: how good this host's best row can be."""
        shard = self.shard_of(
            self.collections[search.collection], job.ask.shard, self.service_settings.fleet.shards
        )
        best = shard.score_bounds(shard.read_queries(search.vectors, len(search.searches)))
        self.events("bound", p=job.ask.id, seq=job.ask.seq, node=self.address, best=best)
        self._put(job.stream, frames.encode(frames.ScoreBound(job.ask.id, job.ask.seq, best)))

    def _holds(self, shard: int) -> bool:
        fleet = self.service_settings.fleet
        return (self.cell - shard) % fleet.cells < fleet.width

    def _begin(self, job: Job) -> None:
        ask, spec = job.ask, self.classes[job.ask.query_class]
        known = self.effects.get(ask.id)
        if (
            spec.idempotency == "keyed"
            and known is not None
            and self.loop.now() - known[0] <= spec.idempotency_window_us
        ):
            self.events("repeat", p=ask.id, seq=ask.seq, node=self.address)
            self._reply(job, "ok", known[1])
            return
        slow = self._has("slow")
        if slow is not None and slow.text not in ("", ask.query_class):
            slow = None
        share = spec.fetch_work if ask.op == "items" else 1.0
        noise = (
            self.random.lognormvariate(0.0, self.service_settings.leaf.noise)
            if self.service_settings.leaf.noise
            else 1.0
        )
        work = self._searched(job) if job.search is not None else spec.work * share
        span = work * noise / (self.speed * self.warmth()) * (slow.value if slow else 1.0)
        self.events("begin", p=ask.id, seq=ask.seq, node=self.address)
        self.running[ask.id, ask.seq] = job
        job.work_us = int(span)
        job.timer = self.loop.call_at(self.loop.now() + int(span), self._finished, job)

    def _finished(self, job: Job) -> None:
        ask = job.ask
        if self.running.pop((ask.id, ask.seq), None) is None:
            return
        try:
            encoded = self._answer(job)
        except ValueError:
            self._reply(job, "error")
        else:
            if self.classes[ask.query_class].idempotency != "safe":
                self._effect(ask.id, ask.seq, encoded)
            self.served += 1
            self._reply(job, "ok", encoded)
        self._next()

    def _answer(self, job: Job) -> bytes:
        """An attempt's data; raises :class:`ValueError`."""
        ask = job.ask
        if job.search is None:
            made: dict[str, Any] = data.answer(
                ask.op, ask.shard, ask.key, ask.item, self.service_settings.leaf.rows
            )
            return msgspec.json.encode(made)
        shard = self.shard_of(
            self.collections[job.search.collection], ask.shard, self.service_settings.fleet.shards
        )
        answer = shard.search(job.search)
        spoilt = self._has("spoil")
        if spoilt is not None:
            answer.lists = [(rows + rows if spoilt.text == "many" else rows)[::-1] for rows in answer.lists]
        if self.events.is_enabled:
            job.rows = [[(hit.id, hit.score) for hit in rows] for rows in answer.lists]
        return encode_search(answer)

    def _effect(self, part: str, seq: int, encoded: bytes) -> None:
        now = self.loop.now()
        self.events("effect", p=part, seq=seq, node=self.address)
        self.effects[part] = (now, encoded)
        if len(self.effects) > 10_000:
            oldest = next(iter(self.effects))
            del self.effects[oldest]

    def _next(self) -> None:
        while self.queue and len(self.running) < self.service_settings.leaf.slots:
            job = self.queue.popleft()
            if job.stream.closed or self.loop.now() - job.came >= job.ask.left_us:
                self.events("dropped", p=job.ask.id, seq=job.ask.seq, node=self.address)
                continue  # nobody waits for it any more: not begun
            self._begin(job)

    def _cancelled(self, key: Key) -> None:
        self.events("cancel", p=key[0], seq=key[1], node=self.address)
        for job in self.queue:
            if (job.ask.id, job.ask.seq) == key:
                self.queue.remove(job)
                return

    def _inflight(self) -> int:
        now = self.loop.now()
        if now - self.reported[0] >= self.service_settings.leaf.refresh:
            self.reported = (now, len(self.running) + len(self.queue))
        return self.reported[1]

    def _reply(self, job: Job, outcome: str, payload: bytes = b"") -> None:
        ask = job.ask
        lost = self._has("lose")
        if self.fallen or self._has("silent") or (lost is not None and self.random.random() < lost.value):
            self.events("swallowed", p=ask.id, seq=ask.seq, node=self.address)
            return
        result = frames.Result(ask.id, ask.seq, outcome, payload, self._inflight(), work_us=job.work_us)
        if self.feed is not None and outcome == "ok":
            true_us = self.feed.advance(self.loop.now())
            result.source_us = self.feed.claimed(self.loop.now())
            result.position = self.feed.truth.position(result.source_us)
            self.events("done", p=ask.id, seq=ask.seq, outcome=outcome, node=self.address, true=true_us)
        else:
            self.events(
                "done",
                p=ask.id,
                seq=ask.seq,
                outcome=outcome,
                node=self.address,
                **({"rows": job.rows} if job.rows is not None else {}),
            )
        self._put(job.stream, frames.encode(result))

    def _put(self, stream: Stream, frame: bytes) -> None:
        """Send a frame, or keep it (or its second half) back while the host stands still."""
        if stream.closed:
            return
        if stream in self.held:
            self.held[stream].chunks.append(frame)
            return
        now_out = frame
        if self._has("stall"):
            self.held[stream] = Held([frame])
            return
        if self._has("midreply") and self._from_broker(stream):
            half = len(frame) // 2
            now_out, self.held[stream] = frame[:half], Held([frame[half:]])
        with contextlib.suppress(StreamBrokenError):
            stream.write(now_out)

    def _release(self) -> None:
        if self._has("stall") or self._has("midreply"):
            return
        held, self.held = self.held, {}
        for stream, kept in held.items():
            for frame in kept.chunks:
                self._put(stream, frame)

    def _register(self) -> Coro[None]:
        """Keep a connection to discovery: it is the host's heartbeat."""
        while True:
            stream: Stream | None = None
            try:
                stream = yield from self.net.connect(self.discovery, 1_000_000)
                age = self.loop.now() - self.started_cold if self.started_cold else -1
                entry = frames.EndpointListEntry(
                    self.address,
                    self.cell,
                    self.zone,
                    birth=self.birth,
                    age_us=age,
                    state="draining" if self.draining else "live",
                )
                stream.write(frames.encode(frames.Hello(frames.VERSION, self.name, "leaf")))
                stream.write(frames.encode(frames.Registration(entry)))
                self._registered = stream
                while (yield from stream.read()):
                    pass
            except (ConnectError, StreamBrokenError):
                pass
            finally:
                self._registered = None
                if stream is not None:
                    stream.abort()
            yield from sleep(self.loop, REGISTER_AGAIN_US)
