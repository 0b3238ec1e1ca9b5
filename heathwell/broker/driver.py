"""The driver: passes the events of a turn of the loop to the aggregator and carries out its actions.

One batch is all that arrived during one turn of the loop. The driver never drops, reorders or invents an
outcome: each ``Send`` gets exactly one ``AttemptEnded``. Its only timeout of its own is the client's
deadline, at which the attempts of a query that are still in flight end as timed out.

What differs between the inner protocol and the platform is behind :mod:`heathwell.broker.driver_contract` and
:mod:`heathwell.broker.driver_hooks`.
"""

from __future__ import annotations

import time
from typing import Any

from heathwell import policy
from heathwell.broker.driver_contract import AttemptKey, EndpointSource, Link
from heathwell.broker.driver_hooks import ResultT
from heathwell.broker.query_registry import QueryRegistry
from heathwell.broker.query_state import PartT, QueryT, SettingsVersion
from heathwell.broker.replies import FAILED, REFUSED, OnReply, Reply

Calls = dict[str, list[list[Any]]]
"""By endpoint, the calls to make at the end of a batch, each a list of attempt requests."""


class Driver(QueryRegistry[QueryT, PartT, ResultT]):
    """One aggregator with its queries, links and endpoint list.

    Subclasses provide the methods of :class:`~heathwell.broker.driver_hooks.DriverHooks`.
    """

    discovery: EndpointSource

    def begin_service(self, discovery: EndpointSource, roster: tuple[policy.EndpointEntry, ...]) -> None:
        """Hand the module the list as it was last known, and ask for the list of now."""
        self.discovery = discovery
        self.loop.at_turn_end(self._turn_end)
        self._push(policy.EndpointUpdate(policy.UpdateKind.FULL, roster, requested=False))
        self.discovery.start()

    def on_client_disconnected(self, query_id: str) -> None:
        """A client went away."""
        query = self.queries.get(query_id)
        if query is not None and query.on_reply is not None:
            query.on_reply = None
            self.counters["left", self._query_class(query).name] += 1
            self.events("left", q=query.id)
            if query.queued:
                query.queued = False
                self._closed(query)
                return
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._leaving.append(query)  # the module may still name its parts until it has heard

    def start_shutdown(self, until_us: int) -> None:
        """The process will be ended then: what is held, and what still comes, has its final answer before."""
        self.shutdown_at_us = until_us
        for query in self.queries.values():
            if query.deadline_us > until_us:
                query.deadline_us = until_us
                if query.timer is not None:
                    query.timer.cancel()
                    query.timer = self.loop.call_at(until_us, self._deadline, query)
        self._push(policy.ShutdownStarted(until_us))

    def kill(self) -> None:
        """What a SIGKILL leaves: nothing more is decided or sent (for fleets within one process)."""
        self.dead = True
        for query in self.queries.values():
            if query.timer is not None:
                query.timer.cancel()
        self.queries.clear()
        self.parts.clear()
        self.close()

    def close(self) -> None:
        """Let go of connections."""
        self.discovery.close()
        for link in self.links.values():
            link.close()

    def on_endpoint_update(self, news: policy.EndpointUpdate) -> None:
        """Discovery's word."""
        self.events("news", kind=news.kind, hosts={s.node: s.state for s in news.endpoints})
        self.counters["news", news.kind] += 1
        self._push(news)

    def on_attempt_result(
        self, node: str, key: AttemptKey, outcome: policy.Outcome, result: ResultT | None
    ) -> None:
        """A link's word on an attempt."""
        query = self.parts.get(key[0])
        if query is None or query.in_flight.pop(key, None) is None:
            return
        part = query.parts[key[0]]
        part.status = outcome
        wanted = part.data is None and query.on_reply is not None
        if outcome == policy.Outcome.OK and result is not None and wanted:
            if self.is_usable(query, part, node, key, result):
                part.data, part.node, part.seq = result.data, node, key[1]
                self.on_part_answered(query, part, key, result)
                if (
                    part.attempt_count > 1
                ):  # a further attempt that still waits for its connection is of no use now
                    self._withdraw(query, key[0])
            else:
                # Told to the module as an error of that host: it asks elsewhere where its own rules allow.
                outcome = policy.Outcome.ERROR
        self._ended(query, key, node, outcome, result)

    def on_probe_result(self, node: str, outcome: policy.Outcome) -> None:
        """A link's word on a probe."""
        self.counters["probe", outcome] += 1
        self.events("probed", node=node, outcome=outcome)
        self._push(policy.ProbeEnded(node, outcome))

    def _ended(
        self, query: QueryT, key: AttemptKey, node: str, outcome: policy.Outcome, result: ResultT | None
    ) -> None:
        self.counters["attempt", self._query_class(query).name, outcome] += 1
        sent_at = self._sent_at_us.pop(key, self.loop.now())
        took = self.loop.now() - sent_at
        self.events("ended", p=key[0], seq=key[1], node=node, outcome=outcome, took=took)
        self.on_attempt_ended(node, key, outcome, took)
        active = result.inflight if result is not None else None
        self._push(
            policy.AttemptEnded(
                key[0], key[1], node, outcome, took, None if active is None else float(active)
            ),
            query.settings_version,
        )
        self._release(query)

    def _deadline(self, query: QueryT) -> None:
        """The client's time is up: what is still out for its query ends here."""
        query.timer = None
        if query.on_reply is not None and not query.queued and not query.woken:
            # After a stall of the loop the module's own timer, a tick earlier, comes in the same turn: it
            # goes first. By a timer of the next turn: what is called soon would still run in this one, before
            # its batch is handled.
            query.woken = True
            self._push(policy.TimerFired("due"), query.settings_version)
            query.timer = self.loop.call_at(self.loop.now() + 1, self._deadline, query)
            return
        for key, node in list(query.in_flight.items()):
            del query.in_flight[key]
            self._link(node).abandon(key)
            self._ended(query, key, node, policy.Outcome.TIMED_OUT, None)
        if query.on_reply is not None:
            # The module owes a final answer a tick earlier; reaching this is a fault of ours, and says so.
            self.log("error", "query overdue", query=query.id)
            self.counters["overdue",] += 1
            on_reply, query.on_reply = query.on_reply, None
            self._push(policy.ClientDisconnected(query.id), query.settings_version)
            self._final(query, Reply(FAILED, query.id, self._query_class(query).name), on_reply)
        self._release(query)

    def _turn_end(self) -> None:
        self._handling = True
        if not self.dead:
            for era in tuple(self.versions):
                if era.inbox:
                    self._handle_batch(era)
            for over in [era for era in self.versions[:-1] if not (era.open_queries or era.inbox)]:
                self.versions.remove(over)
                for timer in over.timers.values():
                    timer.cancel()
        self._handling = False

    def _handle_batch(self, era: SettingsVersion) -> None:
        batch, era.inbox = era.inbox, []
        room = self.quota_update()
        if room is not None:
            batch.insert(0, room)
        calls: Calls = {}
        began = time.thread_time_ns()
        actions = era.aggregator.handle(self.loop.now(), batch)
        self.decision_time_ns += time.thread_time_ns() - began
        for action in actions:
            try:
                self._execute(action, calls, era)
            except Exception as problem:  # one that can't be carried out must not cost the others
                self.loop.report(f"carrying out {action}", problem)
        leaving, self._leaving = self._leaving, []
        for query in leaving:
            self._closed(query)
        if self.events.on:
            self.events.flush()  # type: ignore[attr-defined]  # what is about to leave is on record first
        for node, batches in calls.items():
            for parts in batches:
                wanted = [ask for ask in parts if self._is_still_needed(node, (ask.id, ask.seq))]
                if wanted:
                    self._link(node).send(wanted)
        replies, self._replies = self._replies, []
        for on_reply, reply in replies:
            try:
                on_reply(reply)
            except Exception as problem:
                self.loop.report(f"reply to {reply.query}", problem)

    def _is_still_needed(self, node: str, key: AttemptKey) -> bool:
        """Whether a send's query is not over by what was decided after it, in the same batch."""
        query = self.parts.get(key[0])
        if query is not None and query.on_reply is not None:
            return True
        if query is not None and query.in_flight.pop(key, None) is not None:
            self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)
        return False

    def _execute(self, action: policy.Action, calls: Calls, era: SettingsVersion) -> None:
        match action:
            case policy.Send():
                self._send(action, calls)
            case policy.Cancel(id=part_id, seq=seq):
                query = self.parts.get(part_id)
                if query is not None and (part_id, seq) in query.in_flight:
                    node = query.in_flight.pop((part_id, seq))
                    self._abandon(calls, node, (part_id, seq))
                    self._ended(query, (part_id, seq), node, policy.Outcome.CANCELLED, None)
            case policy.Answer(id=query_id, complete=whole):
                self._answer(query_id, whole)
            case policy.Reject(id=query_id, retry_after_us=after):
                self._reply_without_answer(query_id, REFUSED, after)
            case policy.Fail(id=query_id):
                self._reply_without_answer(query_id, FAILED, 0)
            case policy.Probe(node=node):
                self.events("probe", node=node)
                self._link(node).probe()
            case policy.WatchEndpoints():
                self.events("watch")
                self.discovery.ask()
            case policy.SetTimer(at_us=at, label=label):
                self._set_timer(era, at, label)
            case policy.Log(text=text):
                self.log("info", text)
            case policy.QuotaExhausted():
                self.on_quota_exhausted()

    def _send(self, action: policy.Send, calls: Calls) -> None:
        part_id, node = action.id, action.node
        query = self.parts[part_id]
        part = query.parts[part_id]
        key = (part_id, part.attempt_count)
        part.attempt_count += 1
        now = self.loop.now()
        if query.on_reply is None or now >= query.deadline_us or not self.acquire_quota(action, key):
            # Its client left, or its time or the fleet's budget ran out while this was decided: told as what
            # it is.
            self.events("unsent", p=part_id, seq=key[1], node=node)
            self._push(
                policy.AttemptEnded(part_id, key[1], node, policy.Outcome.NEVER_SENT), query.settings_version
            )
            return
        query.in_flight[key] = node
        part.status = "out"
        part.attempted_nodes.append(node)
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
            **({"further": True} if action.additional else {}),
        )
        batches = calls.setdefault(node, [])
        if not batches or len(batches[-1]) >= self.settings.parts_per_call:
            batches.append([])
        batches[-1].append(self.attempt_request(query, part, key[1], query.deadline_us - now))

    def _abandon(self, calls: Calls, node: str, key: AttemptKey) -> None:
        """Cancel an attempt, which may have been decided in this very batch and not have left yet."""
        for parts in calls.get(node, []):
            for ask in parts:
                if (ask.id, ask.seq) == key:
                    parts.remove(ask)
                    return
        self._link(node).abandon(key)

    def _reply_without_answer(self, query_id: str, kind: str, after: int) -> None:
        query = self.queries.get(query_id)
        if query is not None:
            if kind == REFUSED and after:
                after = self.retry_after_us(query, after)
            self._reply(query, Reply(kind, query_id, self._query_class(query).name, retry_after_us=after))

    def _answer(self, query_id: str, whole: bool) -> None:
        query = self.queries.get(query_id)
        if query is None or query.on_reply is None:
            return  # its client left within this very batch
        if query.step == 1 and self._query_class(query).second_step_parts:
            query.step = 2
            self.events("first", q=query.id, whole=whole)
            self.add_parts(query, self.second_step(query, whole))
            return
        self._reply(query, self.merge(query, whole))

    def _reply(self, query: QueryT, reply: Reply) -> None:
        on_reply, query.on_reply = query.on_reply, None
        if on_reply is not None:
            self._final(query, reply, on_reply)

    def _final(self, query: QueryT, reply: Reply, on_reply: OnReply) -> None:
        took = self.loop.now() - query.started_at_us
        spec = self._query_class(query)
        aim = "in aim" if took <= spec.latency_objective_us else "late"
        kind = "partial" if reply.kind == "answered" and not reply.complete else reply.kind
        self.counters["final", spec.name, kind, aim] += 1
        self.on_reply_made(query, reply, took)
        if self.on_final is not None:
            self.on_final(query, reply, took)
        self._closed(query)
        if self._handling:
            self._replies.append((on_reply, reply))
        else:
            self.loop.call_soon(on_reply, reply)

    def _closed(self, query: QueryT) -> None:
        """The query holds no place any more; its attempts may still be out."""
        self.open_count -= 1 + len(query.parts)
        self.on_query_closed(query)
        self._withdraw(query)  # nothing leaves for a query that has its final answer, or lost its client
        self._release(query)

    def _withdraw(self, query: QueryT, of: AttemptKey | str | None = None) -> None:
        """Take back what still waits for its connection: of an attempt, of a part, or all."""
        for key, node in list(query.in_flight.items()):
            if of in (None, key, key[0]) and self._link(node).withdraw(key):
                del query.in_flight[key]
                self._ended(query, key, node, policy.Outcome.NEVER_SENT, None)

    def _link(self, node: str) -> Link:
        link = self.links.get(node)
        if link is None:
            link = self.links[node] = self.new_link(node)
        return link
