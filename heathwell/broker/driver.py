"""The driver: passes the events of a turn of the loop to the aggregator and carries out its actions.

One batch holds all events that arrived during one turn of the loop. The driver never drops, reorders or
invents an outcome: each ``Send`` gets exactly one ``AttemptEnded``. The only timeout that the driver applies
itself is the client's deadline, at which the query's attempts that are still in flight end as timed out.

What differs between the inner protocol and the platform is behind :mod:`heathwell.broker.driver_contract` and
:mod:`heathwell.broker.driver_hooks`.
"""

from __future__ import annotations

import time
from collections.abc import Sequence
from typing import Generic

from heathwell import policy
from heathwell.broker.call_batches import CallBatches
from heathwell.broker.driver_contract import AttemptKey, EndpointSource, Link, RequestT
from heathwell.broker.driver_hooks import ResultT
from heathwell.broker.operator_log import log_operator_event
from heathwell.broker.query_registry import QueryRegistry
from heathwell.broker.query_state import ExtensionT, PartT, QueryT, SentAttempt, SettingsVersion
from heathwell.broker.replies import OnReply, Reply, ReplyKind

IN_OBJECTIVE = "in aim"  # value of a metric's label, so that it must not change


class Driver(
    QueryRegistry[QueryT, PartT, ResultT, RequestT, ExtensionT],
    Generic[QueryT, PartT, ResultT, RequestT, ExtensionT],
):
    """One aggregator with its queries, links and endpoint list.

    Subclasses provide the methods of :class:`~heathwell.broker.driver_hooks.DriverHooks`.
    """

    discovery: EndpointSource

    def begin_service(
        self, discovery: EndpointSource, known_endpoints: Sequence[policy.EndpointEntry]
    ) -> None:
        """Start with the endpoint list as last known, and subscribe to its source."""
        self.discovery = discovery
        self.loop.at_turn_end(self._turn_end)
        self._push(policy.EndpointUpdate(policy.UpdateKind.FULL, tuple(known_endpoints), requested=False))
        self.discovery.start()

    def on_client_disconnected(self, query_id: str) -> None:
        """Drop the reply of a query whose client has disconnected; nothing more is sent for it."""
        query = self.queries.get(query_id)
        if query is not None and query.on_reply is not None:
            query.on_reply = None
            self.counters["left", self._query_class(query).name] += 1
            self.events("left", q=query.id)
            if query.queued:
                query.queued = False
                self._close_query(query)
                return
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._disconnected.append(query)  # closed after the next batch, whose actions may name its parts

    def start_shutdown(self, until_us: int) -> None:
        """Start a graceful shutdown: every query, open or yet to come, gets its reply by ``until_us``."""
        self.shutdown_at_us = until_us
        for query in self.queries.values():
            if query.deadline_us > until_us:
                query.deadline_us = until_us
                if query.timer is not None:
                    query.timer.cancel()
                    query.timer = self.loop.call_at(until_us, self._deadline, query)
        self._push(policy.ShutdownStarted(until_us))

    def kill(self) -> None:
        """Stop as if by SIGKILL: nothing more is decided or sent.

        For fleets that are simulated within one process.
        """
        self.dead = True
        for query in self.queries.values():
            if query.timer is not None:
                query.timer.cancel()
        self.queries.clear()
        self.parts.clear()
        self.close()

    def close(self) -> None:
        """Close the endpoint source and all links."""
        self.discovery.close()
        for link in self.links.values():
            link.close()

    def on_endpoint_update(self, update: policy.EndpointUpdate) -> None:
        """Log an update of the endpoint list and queue it for all settings versions."""
        self.events("news", kind=update.kind, hosts={entry.node: entry.state for entry in update.endpoints})
        self.counters["news", update.kind] += 1
        self._push(update)

    def on_attempt_result(
        self, node: str, key: AttemptKey, outcome: policy.Outcome, result: ResultT | None
    ) -> None:
        """Process the outcome of an attempt; ignored if the attempt is not in flight."""
        query = self.parts.get(key[0])
        if query is None or query.in_flight.pop(key, None) is None:
            return
        part = query.parts[key[0]]
        part.status = outcome
        is_awaited = part.data is None and query.on_reply is not None
        if outcome == policy.Outcome.OK and result is not None and is_awaited:
            if self.is_usable(query, part, node, key, result):
                part.data = result.data
                part.node = node
                part.seq = key[1]
                self.on_part_answered(query, part, key, result)
                if part.attempt_count > 1:
                    # Additional attempts that still wait for a connection are no longer needed.
                    self._withdraw(query, key[0])
            else:
                # Counts as an error of the endpoint: the aggregator retries elsewhere if its rules allow it.
                outcome = policy.Outcome.ERROR
        self._end_attempt(query, key, node, outcome, result)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """Process the outcome of a probe."""
        self.counters["probe", outcome] += 1
        self.events("probed", node=node, outcome=outcome)
        self._push(policy.ProbeEnded(node, outcome))

    def _end_attempt(
        self, query: QueryT, key: AttemptKey, node: str, outcome: policy.Outcome, result: ResultT | None
    ) -> None:
        self.counters["attempt", self._query_class(query).name, outcome] += 1
        sent_at_us = self._sent_at_us.pop(key, self.loop.now())
        duration_us = self.loop.now() - sent_at_us
        self.events("ended", p=key[0], seq=key[1], node=node, outcome=outcome, took=duration_us)
        self.on_attempt_ended(node, key, outcome, duration_us)
        active = result.inflight if result is not None else None
        self._push(
            policy.AttemptEnded(
                key[0], key[1], node, outcome, duration_us, None if active is None else float(active)
            ),
            query.settings_version,
        )
        self._release(query)

    def _deadline(self, query: QueryT) -> None:
        """End the attempts that are still in flight at the client's deadline."""
        query.timer = None
        if query.on_reply is not None and not query.queued and not query.deadline_reported:
            # After a stall of the loop, the aggregator's own timer, which is due one tick earlier, fires in
            # this same turn, and its event must be handled first. Hence a timer for the next turn: a call by
            # call_soon would still run in this turn, before its batch is handled.
            query.deadline_reported = True
            self._push(policy.TimerFired("due"), query.settings_version)
            query.timer = self.loop.call_at(self.loop.now() + 1, self._deadline, query)
            return
        for key, node in list(query.in_flight.items()):
            del query.in_flight[key]
            self._link(node).abandon(key)
            self._end_attempt(query, key, node, policy.Outcome.TIMED_OUT, None)
        if query.on_reply is not None:
            # The aggregator should have replied a tick earlier, so this is a bug and logged as an error.
            self.log("error", "query overdue", query=query.id)
            self.counters["overdue",] += 1
            on_reply = query.on_reply
            query.on_reply = None
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._final(query, Reply(ReplyKind.FAILED, query.id, self._query_class(query).name), on_reply)
        self._release(query)

    def _turn_end(self) -> None:
        self._handling_batches = True
        if not self.dead:
            for version in tuple(self.versions):
                if version.inbox:
                    self._handle_batch(version)
            self._remove_finished_versions()
        self._handling_batches = False

    def _remove_finished_versions(self) -> None:
        replaced = self.versions[:-1]
        finished = [version for version in replaced if not (version.open_queries or version.inbox)]
        for version in finished:
            self.versions.remove(version)
            for timer in version.timers.values():
                timer.cancel()

    def _handle_batch(self, version: SettingsVersion[ExtensionT]) -> None:
        batch = version.inbox
        version.inbox = []
        quota_update = self.quota_update()
        if quota_update is not None:
            batch.insert(0, quota_update)
        calls: CallBatches[RequestT] = CallBatches(self.settings.parts_per_call)
        started_at_ns = time.thread_time_ns()
        actions = version.aggregator.handle(self.loop.now(), batch)
        self.decision_time_ns += time.thread_time_ns() - started_at_ns
        for action in actions:
            try:
                self._execute(action, calls, version)
            except Exception as error:  # noqa: BLE001  # the other actions are still executed
                self.loop.report(f"action {action}", error)
        disconnected = self._disconnected
        self._disconnected = []
        for query in disconnected:
            self._close_query(query)
        if self.events.is_enabled:
            self.events.flush()  # events are written before the sends and replies that they record
        self._send_calls(calls)
        self._give_replies()

    def _send_calls(self, calls: CallBatches[RequestT]) -> None:
        for call in calls:
            needed = [
                request
                for request in call.requests
                if self._is_still_needed(call.node, (request.id, request.seq))
            ]
            if needed:
                self._link(call.node).send(needed)

    def _give_replies(self) -> None:
        replies = self._replies
        self._replies = []
        for on_reply, reply in replies:
            try:
                on_reply(reply)
            except Exception as error:  # noqa: BLE001  # the other replies are still given
                self.loop.report(f"reply to {reply.query}", error)

    def _is_still_needed(self, node: str, key: AttemptKey) -> bool:
        """Whether an attempt's query still awaits its reply; the batch may have ended it after the send."""
        query = self.parts.get(key[0])
        if query is not None and query.on_reply is not None:
            return True
        if query is not None and query.in_flight.pop(key, None) is not None:
            self._end_attempt(query, key, node, policy.Outcome.NEVER_SENT, None)
        return False

    def _execute(  # noqa: C901  # one case for each type of action
        self, action: policy.Action, calls: CallBatches[RequestT], version: SettingsVersion[ExtensionT]
    ) -> None:
        match action:
            case policy.Send():
                self._send(action, calls)
            case policy.Cancel(id=part_id, seq=seq):
                query = self.parts.get(part_id)
                if query is not None and (part_id, seq) in query.in_flight:
                    node = query.in_flight.pop((part_id, seq))
                    self._abandon(calls, node, (part_id, seq))
                    self._end_attempt(query, (part_id, seq), node, policy.Outcome.CANCELLED, None)
            case policy.Answer(id=query_id, complete=complete):
                self._answer(query_id, complete=complete)
            case policy.Reject():
                self._reply_without_answer(action.id, ReplyKind.REFUSED, action.reason, action.retry_after_us)
            case policy.Fail():
                self._reply_without_answer(action.id, ReplyKind.FAILED, action.reason)
            case policy.Probe(node=node):
                self.events("probe", node=node)
                self._link(node).probe()
            case policy.WatchEndpoints():
                self.events("watch")
                self.discovery.request_update()
            case policy.SetTimer(at_us=at_us, label=label):
                self._set_timer(version, at_us, label)
            case policy.EndpointEjected() | policy.EndpointReadmitted() | policy.DiscoveryDegraded():
                log_operator_event(self.log, action)
            case policy.QuotaExhausted():
                self.on_quota_exhausted()

    def _send(self, action: policy.Send, calls: CallBatches[RequestT]) -> None:
        part_id = action.id
        node = action.node
        query = self.parts[part_id]
        part = query.parts[part_id]
        key = (part_id, part.attempt_count)
        part.attempt_count += 1
        now = self.loop.now()
        if query.on_reply is None or now >= query.deadline_us or not self.acquire_quota(action, key):
            # While this was decided, the client disconnected, the deadline passed or the quota ran out.
            self.events("unsent", p=part_id, seq=key[1], node=node)
            self._push(
                policy.AttemptEnded(part_id, key[1], node, policy.Outcome.NEVER_SENT), query.settings_version
            )
            return
        query.in_flight[key] = node
        part.status = "out"
        part.sent_attempts.append(SentAttempt(node, action.reason))
        self._sent_at_us[key] = now
        if action.send_by_us is not None and action.send_by_us < query.deadline_us:
            self.loop.call_at(action.send_by_us, self._withdraw, query, key)
        self.on_attempt_sent(node, key)
        self.events(
            "send",
            p=part_id,
            seq=key[1],
            node=node,
            shard=part.plan.shard,
            **({"further": True, "reason": action.reason.value} if action.is_additional else {}),
        )
        calls.add(node, self.attempt_request(query, part, key[1], query.deadline_us - now))

    def _abandon(self, calls: CallBatches[RequestT], node: str, key: AttemptKey) -> None:
        """Cancel an attempt, which may be one of this batch that its link has not been given yet."""
        if not calls.remove(node, key):
            self._link(node).abandon(key)

    def _reply_without_answer(
        self, query_id: str, kind: ReplyKind, reason: policy.EndReason, retry_after_us: int = 0
    ) -> None:
        query = self.queries.get(query_id)
        if query is not None:
            if kind == ReplyKind.REFUSED and retry_after_us:
                retry_after_us = self.retry_after_us(query, retry_after_us)
            class_name = self._query_class(query).name
            reply = Reply(kind, query_id, class_name, retry_after_us=retry_after_us, end_reason=reason)
            self._reply(query, reply)

    def _answer(self, query_id: str, *, complete: bool) -> None:
        query = self.queries.get(query_id)
        if query is None or query.on_reply is None:
            return  # its client disconnected during this batch
        if query.step == 1 and self._query_class(query).second_step_parts:
            query.step = 2
            self.events("first", q=query.id, whole=complete)
            self.add_parts(query, self.second_step(query, complete=complete))
            return
        self._reply(query, self.merge(query, complete=complete))

    def _reply(self, query: QueryT, reply: Reply) -> None:
        on_reply = query.on_reply
        query.on_reply = None
        if on_reply is not None:
            self._final(query, reply, on_reply)

    def _final(self, query: QueryT, reply: Reply, on_reply: OnReply) -> None:
        duration_us = self.loop.now() - query.started_at_us
        spec = self._query_class(query)
        timeliness = IN_OBJECTIVE if duration_us <= spec.latency_objective_us else "late"
        kind = "partial" if reply.kind == ReplyKind.ANSWERED and not reply.complete else reply.kind
        self.counters["final", spec.name, kind, timeliness] += 1
        self.on_reply_made(query, reply, duration_us)
        if self.on_final is not None:
            self.on_final(query, reply, duration_us)
        self._close_query(query)
        if self._handling_batches:
            self._replies.append((on_reply, reply))
        else:
            self.loop.call_soon(on_reply, reply)

    def _close_query(self, query: QueryT) -> None:
        """Stop counting a query as open; its attempts may still be in flight."""
        self.open_count -= 1 + len(query.parts)
        self.on_query_closed(query)
        self._withdraw(query)  # nothing more is sent for a closed query
        self._release(query)

    def _withdraw(self, query: QueryT, target: AttemptKey | str | None = None) -> None:
        """Withdraw unsent attempts: the one with this key, those of the part with this id, or all."""
        for key, node in list(query.in_flight.items()):
            if target in (None, key, key[0]) and self._link(node).withdraw(key):
                del query.in_flight[key]
                self._end_attempt(query, key, node, policy.Outcome.NEVER_SENT, None)

    def _link(self, node: str) -> Link[RequestT]:
        link = self.links.get(node)
        if link is None:
            link = self.links[node] = self.new_link(node)
        return link
