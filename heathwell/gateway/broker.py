"""The broker on the platform: the driver with checked requests as its input, and nodes and discovery.

:class:`PlatformBroker` owns the links to nodes, their addresses and the watch of discovery; the driver that
it extends owns queries and attempts. Imports the driver, the node links and discovery, never the front.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from functools import partial

from heathwell import policy
from heathwell.broker.driver import Driver
from heathwell.broker.driver_contract import AttemptKey
from heathwell.broker.query_state import Handle, HintedPart, PartState, QueryState
from heathwell.broker.replies import OnReply, Reply, ReplyKind, rejection
from heathwell.codec import nodeframes as nf
from heathwell.eventloop import Loop, Net
from heathwell.gateway.client_memory import (
    BYTES_PER_MB,
    PLACE_BYTES,
    MemoryBudget,
    client_limits,
    query_memory,
)
from heathwell.gateway.config import Config
from heathwell.gateway.discovery import Discovery
from heathwell.gateway.node_attempts import NodeRequest
from heathwell.gateway.node_pool import NodeLink
from heathwell.gateway.node_pool_limit import ConnectionPoolLimit
from heathwell.gateway.requests import ClientRequest, RequestedPart
from heathwell.gateway.sent_ids import SentIds
from heathwell.gateway.targets import Targets, endpoint_state, to_endpoint_update
from heathwell.observability.event_log import EventLog

# Subtracted from a client's timeout for the transit of request and reply and for the delay of the loop.
DEADLINE_MARGIN_US = 8_000
SECOND_STEP_SUFFIX = ".fetch"
TYPICAL_PROCESS_BYTES = 20 * BYTES_PER_MB  # memory of a process without clients
SENT_IDS_PER_MB = 64  # ids of requests with effects that are kept at least, for each MB of the memory limit
AT_CAPACITY = "full"  # reason of a rejection at admission, as named in metrics and replies


@dataclass(slots=True)
class PlatformPart(PartState):
    """A part with the score of its answer; the shards of a second step are those of the highest scores."""

    plan: RequestedPart
    score: float = 0.0


@dataclass(slots=True)
class PlatformQuery(QueryState[PlatformPart, None]):
    """A query with its request.

    ``answered_shards`` and ``complete`` are the result of the first step, once it has ended.
    ``memory_bytes`` is what the query is charged until its last attempt has ended.
    """

    request: ClientRequest = ClientRequest("", 0, 0, "", retry=False, text=b"", parts=())
    answered_shards: tuple[int, ...] = ()
    complete: bool | None = None
    memory_bytes: int = 0


class PlatformBroker(Driver[PlatformQuery, PlatformPart, nf.PartAnswer, NodeRequest, None]):
    """One broker on the platform.

    ``unix_us`` returns Unix time. It is read once, to convert the start times of nodes to the loop's clock.
    ``process_bytes`` is the memory of the process without clients. What is left of the configured limit
    bounds the number of clients' connections (``client_limits``) and what they hold together (``memory``).
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
        process_bytes: int = TYPICAL_PROCESS_BYTES,
    ) -> None:
        super().__init__(loop, config.settings, None, config.seed, name=config.name, events=events, log=log)
        self.net = net
        self.config = config
        self.client_limits = client_limits(
            config.memory_mb * BYTES_PER_MB, process_bytes, config.client_sockets
        )
        self.memory = MemoryBudget(self.client_limits.shared_bytes)
        self.sent_ids = SentIds(config.memory_mb * SENT_IDS_PER_MB)
        self.pool_limit = ConnectionPoolLimit(config.node_sockets)
        self.addresses: dict[str, str] = {}
        self.closed_link_statistics: Counter[str] = Counter()
        self._boot_ms: dict[str, float] = {}
        self._unix_offset_us = unix_us() - loop.now()
        self._update_addresses(config.known)
        self.watch = Discovery(
            loop,
            net,
            config.discovery,
            self.on_targets,
            log,
            hold_us=config.hold_us,
            seed=config.seed,
            pushed=not config.settings.poll_mode,
            grace_us=config.settings.drain_grace_us,
            rev=config.known.rev if config.known.all and config.known.targets else None,
        )
        initial_update = self._endpoint_update(config.known, requested=False)
        # If lists are pushed, discovery's list binds the broker from the start of the process, and the
        # configured list may be older. So that one is not used, and queries wait, until discovery has
        # answered or failed.
        self._initial_update = None if config.settings.poll_mode else initial_update
        self.begin_service(self.watch, initial_update.endpoints if self.ready else ())

    @property
    def ready(self) -> bool:
        """Whether there is an endpoint list to use."""
        return self._initial_update is None

    def begin(self, request: ClientRequest, on_reply: OnReply, arrived_at_us: int) -> Handle | None:
        """Start the query of a checked request; ``on_reply`` gets its only reply, after this has returned.

        At capacity the request is rejected without reaching the decision module, and ``None`` is returned.
        """
        spec = self.settings.classes[request.query_class]
        memory_bytes = query_memory(len(request.parts) + spec.second_step_parts, len(request.text))
        has_memory = self.memory.can_accept(memory_bytes, is_long=len(request.text) > PLACE_BYTES)
        if self.is_full(len(request.parts)) or not has_memory:
            self._reject(spec, on_reply)
            return None
        deadline_us = max(
            arrived_at_us + request.wait_us - DEADLINE_MARGIN_US, arrived_at_us + self.settings.tick_us
        )
        query = PlatformQuery(
            request.id,
            self.next_job(),
            request.query_class,
            arrived_at_us,
            deadline_us,
            on_reply,
            request=request,
            memory_bytes=memory_bytes,
        )
        self.memory.charge(memory_bytes)
        self._log_arrival(query, spec)
        handle = self.admit(query)
        hints_us = [part.hint_us for part in request.parts if part.hint_us is not None]
        self.queue_arrival(
            query,
            (
                HintedPart(PlatformPart(f"{query.id}.{part.shard}", part, 1), part.hint_us)
                for part in request.parts
            ),
            len(request.parts),
            sum(hints_us) if hints_us else None,
            retry=request.retry,
            tenant=request.tenant,
        )
        return handle

    def is_used(self, request_id: str) -> bool:
        """Whether a request of this id is open, or had an attempt sent and must not run again.

        A client that left may come again with the id of its request, whose attempt may have run or may yet.
        """
        return request_id in self.queries or request_id in self.sent_ids

    def _reject(self, spec: policy.QueryClass, on_reply: OnReply) -> None:
        self.counters["door", spec.name, AT_CAPACITY] += 1
        retry_after_us = min(spec.latency_objective_us, self.capacity_retry_after_us)
        self.loop.call_soon(on_reply, rejection(spec.name, retry_after_us, AT_CAPACITY))

    @property
    def capacity_retry_after_us(self) -> int:
        """The longest time to come back that may be named in a refusal for lack of capacity, or 0."""
        return self.settings.max_retry_after_us if self.settings.retry_advice_allowed else 0

    def _log_arrival(self, query: PlatformQuery, spec: policy.QueryClass) -> None:
        parts = query.request.parts
        self.events(
            "take",
            q=query.id,
            req=query.id,
            key="",
            klass=spec.name,
            parts=len(parts),
            deadline=query.deadline_us - query.started_at_us,
            shards=[part.shard for part in parts],
        )

    def on_targets(self, targets: Targets | None) -> None:
        """Apply an answer of discovery, or ``None`` for a failed call."""
        initial_update = self._initial_update
        if initial_update is not None:
            self._initial_update = None
            self._push(initial_update)
        if targets is None:
            self.on_endpoint_update(policy.EndpointUpdate(policy.UpdateKind.FAILED))
            return
        unavailable = self._update_addresses(targets)
        self.on_endpoint_update(self._endpoint_update(targets))
        # Unsent attempts are reported only after the update, so that replicas are selected from the new list.
        unavailable |= {
            target.uid for target in targets.targets if endpoint_state(target) != policy.EndpointState.LIVE
        }
        self._update_links(unavailable)

    def _update_links(self, unavailable: set[str]) -> None:
        """Apply the addresses to the links, and withdraw what is unsent to ``unavailable`` nodes."""
        for node, link in list(self.links.items()):
            if node not in self.addresses:
                link.on_endpoint_removed()
                if not link.connections:
                    self.closed_link_statistics.update(link.statistics())
                    del self.links[node]
                continue
            link.set_address(self.addresses[node])
            if node in unavailable:
                link.withdraw_unsent()

    def _endpoint_update(self, targets: Targets, *, requested: bool = True) -> policy.EndpointUpdate:
        return to_endpoint_update(
            targets,
            self.config.zones,
            self.settings.replica_groups,
            self._unix_offset_us,
            requested=requested,
        )

    def _update_addresses(self, targets: Targets) -> set[str]:
        """Store addresses and start times of the listed nodes; return the nodes that were restarted."""
        restarted = {
            target.uid
            for target in targets.targets
            if self._boot_ms.get(target.uid, target.boot_ms) != target.boot_ms
        }
        if targets.all:
            self.addresses = {}
            self._boot_ms = {}
        for target in targets.targets:
            if target.state == "removed":
                self.addresses.pop(target.uid, None)
                self._boot_ms.pop(target.uid, None)
            else:
                self.addresses[target.uid] = target.endpoint
                self._boot_ms[target.uid] = target.boot_ms
        return restarted

    # Called by the driver.

    def on_query_released(self, query: PlatformQuery) -> None:
        """Give back the memory of a query of which nothing is left."""
        self.memory.charge(-query.memory_bytes)

    def on_attempt_sent(self, node: str, key: AttemptKey) -> None:  # noqa: ARG002  # part of a hook
        """Remember the id of a query whose effect a repeat would have once more."""
        query = self.parts[key[0]]
        if self._query_class(query).idempotency != policy.Idempotency.IDEMPOTENT:
            self.sent_ids.add(query.id)

    def new_link(self, node: str) -> NodeLink:
        """Return a link to a node at its present address."""
        return NodeLink(
            self.loop,
            self.net,
            node,
            self.addresses.get(node, ""),
            self,
            self.config.connections,
            self.pool_limit,
            self.log,
        )

    def attempt_request(
        self, query: PlatformQuery, part: PlatformPart, seq: int, remaining_us: int
    ) -> NodeRequest:
        """Return the request of an attempt, whose deadline is ``remaining_us`` from now."""
        is_second_step = part.step == 2
        return NodeRequest(
            part.id,
            seq,
            partial(
                nf.encode_part,
                part.id,
                part.plan.shard,
                text=query.request.text,
                key=query.request.key,
                answered=query.answered_shards if is_second_step else (),
                complete=query.complete if is_second_step else None,
            ),
            self.loop.now() + remaining_us,
        )

    def on_part_answered(
        self,
        query: PlatformQuery,  # noqa: ARG002  # part of a hook
        part: PlatformPart,
        key: AttemptKey,  # noqa: ARG002  # part of a hook
        result: nf.PartAnswer,  # noqa: ARG002  # part of a hook
    ) -> None:
        """Store the score of the answer, by which the shards of a second step are chosen."""
        part.score = result.score

    def second_step(self, query: PlatformQuery, *, complete: bool) -> Iterator[HintedPart[PlatformPart]]:
        """Yield a part, without a work hint, for each of the shards that answered with the highest scores."""
        answered = [part for part in query.parts.values() if part.data is not None]
        query.answered_shards = tuple(sorted(part.plan.shard for part in answered))
        query.complete = complete
        best = sorted(answered, key=lambda part: -part.score)[: self._query_class(query).second_step_parts]
        for part in best:
            plan = RequestedPart(part.plan.shard, 1 / len(best), None)
            yield HintedPart(PlatformPart(part.id + SECOND_STEP_SUFFIX, plan, 2), None)

    def merge(self, query: PlatformQuery, *, complete: bool) -> Reply:
        """Return the reply with the unchanged values of the last step's answered parts."""
        values = [
            {"id": part.plan.shard, "data": part.data.decode("ascii")}
            for part in query.parts.values()
            if part.step == query.step and part.data is not None
        ]
        return Reply(
            ReplyKind.ANSWERED,
            query.id,
            self._query_class(query).name,
            complete,
            body={"exact": complete, "rows": values},
        )

    def on_reply_made(self, query: PlatformQuery, reply: Reply, took_us: int) -> None:
        """Log the reply."""
        if self.events.is_enabled:  # building the fields is costly
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
