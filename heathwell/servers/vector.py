"""The vector front: searches over HTTP by Qdrant's REST form, through the same broker path as any other
query.

A batch is cut by cost into queries of their own, each of which shares its parts' products; it is answered
when all are in, and refused as a whole with the first one that is refused, as the API has no word for half a
batch.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Callable, Sequence
from urllib.parse import unquote

import msgspec

from heathwell import __version__
from heathwell.broker.query_state import Handle
from heathwell.broker.replies import ANSWERED, REFUSED, Reply
from heathwell.codec.http import Request, Response, ServerSide
from heathwell.eventloop import Coro, Event, Stream, StreamBrokenError, StreamOverrunError, sleep
from heathwell.servers import vector_api as api
from heathwell.servers.memcached import DRAIN_LOOK_US
from heathwell.service.admission.cost import cut_batch, search_figures
from heathwell.service.key_spaces import consecutive_shards, place
from heathwell.service.merging import Merged, TopK
from heathwell.service.records import PartPlan, Plan, SearchPlan
from heathwell.service.retry_storms import Doors
from heathwell.service.service_broker import ServiceBroker
from heathwell.service.vectors.wire import OP
from heathwell.settings.schema import Collection

HELD_MOST = 1 << 18  # bytes read ahead of a request that is at work
SLOW_START = 4  # chunks answered for each further one that is out at once
TURN_EVERY = 16  # searches of a batch read before the loop gets a turn
API_VERSION = "1.20.0"  # of the API's form, which clients compare with their own
READ_ONLY = "This service only searches; write to the shards' own store"


class VectorFront:
    """Serves connections; counts what it could not serve."""

    def __init__(self, broker: ServiceBroker, log: Callable[..., None]) -> None:
        self.broker, self.log = broker, log
        self.numbers: dict[int, Connection] = {}
        limits = broker.service_settings.limits
        self.doors = Doors(limits.clients, limits.clients_an_address)
        self.total = 0
        self.collections = {spec.name: spec for spec in broker.service_settings.collections}
        classes = {spec.name: index for index, spec in enumerate(broker.service_settings.classes)}
        self.classes = {
            spec.name: (classes[spec.query_class], classes[spec.batch_class or spec.query_class])
            for spec in broker.service_settings.collections
        }
        self.requests = self.errors = self.slow = self.left = self.searches = 0
        if broker.client_drain.over:
            broker.loop.call_at(broker.loop.now() + DRAIN_LOOK_US, self._let_go)

    def _let_go(self) -> None:
        """While the broker is cut off answers close their connections: clients find another."""
        if not self.broker.dead:
            self.broker.loop.call_at(self.broker.loop.now() + DRAIN_LOOK_US, self._let_go)
            closing = self.broker.client_drain.cut
            for connection in self.numbers.values():
                connection.last = closing and connection.since < self.broker.client_drain.cut_since

    def serve(self, stream: Stream) -> Coro[None]:
        """One connection, from its first byte to its last."""
        self.total += 1
        connection = Connection(self, stream, self.total)
        stays, victim = self.doors.opened(
            connection.number, stream.peer.rpartition(":")[0], lambda number: self.numbers[number].idle
        )
        if not stays:
            connection.side.closing = True
            stream.write(
                connection.side.respond(
                    api.failed(
                        api.ApiError(
                            503,
                            "Service unavailable: too many connections",
                            self.broker.settings.max_retry_after_us,
                        ),
                        0,
                    )
                )
            )
            return
        if victim is not None:
            self.numbers[victim].stream.close()
        self.numbers[connection.number] = connection
        try:
            yield from connection.run()
        except StreamOverrunError as problem:
            self.log("info", "client cut off", client=stream.peer, why=str(problem))
        finally:
            self.numbers.pop(connection.number, None)
            self.doors.closed(connection.number)
            connection.gone()

    def shards(self, spec: Collection) -> list[int]:
        """The shards that a collection lies on."""
        fleet = self.broker.service_settings.fleet
        return consecutive_shards(place(spec.name, fleet.shards), spec.parts or fleet.shards, fleet.shards)


class Connection:
    """One client: requests in turn, its end noticed while one is at work."""

    def __init__(self, front: VectorFront, stream: Stream, number: int) -> None:
        self.number = number
        self.front, self.stream, self.loop = front, stream, front.broker.loop
        self.limits = front.broker.service_settings.vector
        self.side = ServerSide(self.limits.body, self.limits.head)
        self.since = self.loop.now()
        self.last = False
        self.asked = 0
        self._chunks: deque[bytes] = deque()
        self._held = 0
        self._ended = False
        self._busy = False
        self._since = self.loop.now()  # the last whole request, or the connection's begin
        self._filled, self._room, self._done = Event(), Event(), Event()
        self._handles: list[Handle] = []

    @property
    def idle(self) -> bool:
        """Nothing is asked, and no request has begun."""
        return not self._busy and not self._chunks and not self.side.midway

    def run(self) -> Coro[None]:
        """Serve until either side ends it."""
        self.stream.on_close = self.gone
        reader = self.loop.spawn(self._read(), f"reads {self.stream.peer}")
        self._watch()
        try:
            while True:
                whole = next(self.side.events(), None)
                interim = self.side.take_interim()
                if interim:
                    self.stream.write(interim)
                if whole is None:
                    if self.side.closing or not (yield from self._more()):
                        return
                    continue
                yield from self._serve_one(whole)
                if self.side.closing:
                    return
        finally:
            reader.cancel()

    def _serve_one(self, whole: Request | Response) -> Coro[None]:
        if isinstance(whole, Response):
            self.front.errors += 1
            whole = api.failed(api.ApiError(whole.status, whole.body.decode().strip()), 0)
        else:
            self._busy = True
            self.front.doors.used(self.number)
            self.front.requests += 1
            whole = yield from self._answer(whole)
            self._busy = False
        if self.last or self.front.broker.stopping:
            self.side.closing = True
        self._since = self.loop.now()
        self.stream.write(self.side.respond(whole))
        yield from self.stream.drain()

    def _read(self) -> Coro[None]:
        """Read ahead, a bounded while: the client's end shows though its request is at work."""
        try:
            while True:
                while self._held > HELD_MOST:
                    self._room.clear()
                    yield from self._room.wait()
                data = yield from self.stream.read()
                if not data:
                    break
                if not self._chunks and not self.side.midway and not self._busy:
                    self._since = self.loop.now()
                self._chunks.append(data)
                self._held += len(data)
                self._filled.set()
        except StreamBrokenError:
            pass
        self._ended = True
        self._filled.set()
        if self._busy:
            # As other servers of HTTP: who closes does not wait for the answer.
            self.gone()

    def _more(self) -> Coro[bool]:
        """Wait for bytes and hand them on; false at the client's end."""
        while not self._chunks:
            if self._ended:
                return False
            self._filled.clear()
            yield from self._filled.wait()
        data = self._chunks.popleft()
        self._held -= len(data)
        self._room.set()
        self.side.receive(data)
        return True

    def _watch(self) -> None:
        """One timer: a request that takes too long to come, or a client that asks for nothing, ends the
        connection.
        """
        if self.stream.closed:
            return
        now = self.loop.now()
        midway = self.side.midway or bool(self._chunks)
        most = self.limits.slow if midway else self.limits.idle
        if not self._busy and now - self._since >= most:
            if midway:
                self.front.slow += 1
                self.side.closing = True
                self.stream.write(
                    self.side.respond(
                        api.failed(
                            api.ApiError(408, f"the request was not whole within {most / 1e6:g} s"), most
                        )
                    )
                )
            self.stream.close()
            return
        self.loop.call_at(now + min(self.limits.slow, self.limits.idle) // 2, self._watch)

    def gone(self) -> None:
        """The client is lost: nobody waits for what is asked."""
        handles, self._handles = self._handles, []
        if handles:
            self.front.left += 1
        for handle in handles:
            handle.disconnect()
        self._ended = True
        self._done.set()
        self._filled.set()

    # Requests

    def _answer(self, request: Request) -> Coro[Response]:
        began = self.loop.now()
        try:
            response = yield from self._route(request, began)
        except api.ApiError as problem:
            self.front.errors += 1
            return api.failed(problem, self.loop.now() - began)
        return response

    def _route(self, request: Request, began: int) -> Coro[Response]:
        broker, path = self.front.broker, request.path.rstrip("/")
        found = api.ROUTE.fullmatch(path)
        if found is not None:
            if request.method != "POST":
                raise api.ApiError(405, f"{request.method} is not served on {path}")
            return (yield from self._searched(request, unquote(found[1]), found[2], bool(found[3]), began))
        if path in ("", "/healthz", "/livez", "/readyz", "/collections") and request.method in (
            "GET",
            "HEAD",
        ):
            if path == "":
                return Response(
                    200,
                    msgspec.json.encode(
                        {
                            "title": "heathwell - vector search over shards",
                            "version": API_VERSION,
                            "commit": __version__,
                        }
                    ),
                    api.JSON,
                )
            if path == "/collections":
                return api.answered(
                    {"collections": [{"name": name} for name in self.front.collections]},
                    self.loop.now() - began,
                )
            if path == "/readyz" and (broker.stopping or broker.cut_off):
                return Response(503, b"stopping\n" if broker.stopping else b"cut off from most shards\n")
            return Response(200, b"ok\n")
        known = api.INFO.fullmatch(path)
        if known is not None and request.method == "GET":
            name = unquote(known[1])
            if known[2]:
                return api.answered({"exists": name in self.front.collections}, self.loop.now() - began)
            spec = self._collection(name)
            shards = self.front.shards(spec)
            sizes = broker.search_answers.points_seen.get(name, {})
            seen = sum(sizes.values()) if len(sizes) == len(shards) else None
            return api.answered(
                api.info(spec, len(shards), broker.service_settings.fleet.width, seen),
                self.loop.now() - began,
            )
        if request.method in ("PUT", "DELETE", "PATCH", "POST") and path.startswith("/collections"):
            raise api.ApiError(403, f"Forbidden: {READ_ONLY}")
        raise api.ApiError(404, f"Not found: {request.method} {request.path}")

    def _collection(self, name: str) -> Collection:
        spec = self.front.collections.get(name)
        if spec is None:
            raise api.ApiError(404, f"Not found: Collection `{name}` doesn't exist!")
        return spec

    def _searched(self, request: Request, name: str, form: str, batch: bool, began: int) -> Coro[Response]:
        spec = self._collection(name)
        timeout = api.timeout_of(request)
        searches: list[api.Search] = []
        if batch:
            for number, raw in enumerate(api.read_batch(request.body, self.limits)):
                searches.append(api.read_search(form, raw, spec, self.limits, f"searches[{number}]."))
                if number % TURN_EVERY == TURN_EVERY - 1:
                    yield from sleep(self.loop, 1)  # other clients get their turn
            if not searches:
                return api.answered([], self.loop.now() - began)
        else:
            searches.append(api.read_search(form, request.body, spec, self.limits))
        replies, rows = yield from self._ask(spec, searches, request, timeout, batch)
        results = list(api.each(rows, spec.distance, form))
        return api.answered(results if batch else results[0], self.loop.now() - began, api.honesty(replies))

    def _ask(
        self, spec: Collection, searches: Sequence[api.Search], request: Request, timeout: int, batch: bool
    ) -> Coro[tuple[list[Reply], list[Merged]]]:
        """Ask the broker for all searches, cut by cost; raises
        :class:`~heathwell.servers.vector_api.ApiError`.
        """
        broker = self.front.broker
        model = broker.costs.model(f"vector:{spec.name}", float(spec.work), 4)
        costs = [model.predict(_figures([one])) for one in searches]
        chunks = cut_batch(costs, self.limits.chunk, self.limits.chunk_searches)
        self.asked += 1
        self.front.searches += len(searches)
        name = request.headers.get("x-request-id", f"{self.stream.peer}#{self.asked}")
        replies: dict[int, Reply] = {}
        lost: list[Reply] = []

        def done(index: int) -> Callable[[Reply], None]:
            def note(reply: Reply) -> None:
                replies[index] = reply
                if reply.kind != ANSWERED:
                    lost.append(reply)
                self._done.set()

            return note

        begun = 0
        # With the first chunk that is lost all are: the rest need not be asked.
        while not self._ended and not lost and len(replies) < len(chunks):
            # Slow start: how fast hosts answer is known from answers alone; a burst on few of them looks like
            # a jam.
            room = min(self.limits.chunks_at_once, 1 + len(replies) // SLOW_START)
            if begun < len(chunks) and begun - len(replies) < room:
                plan = self._plan(spec, [searches[n] for n in chunks[begun]], timeout, batch)
                handle = broker.begin(
                    plan,
                    done(begun),
                    name if len(chunks) == 1 else f"{name}/{begun}",
                    self.stream.peer.rpartition(":")[0],
                )
                begun += 1
                if handle is not None:
                    self._handles.append(handle)
                continue
            self._done.clear()
            yield from self._done.wait()
        wrong = lost[0] if lost else None
        handles, self._handles = self._handles, []
        if wrong is not None or self._ended:
            for handle in handles:
                handle.disconnect()  # those answered already know nothing of it any more
        if self._ended and wrong is None:
            raise StreamBrokenError("the client left")
        if wrong is not None:
            if wrong.kind == REFUSED:
                raise api.ApiError(
                    503,
                    f"Service unavailable: refused ({wrong.reason or 'overloaded'}); come back in "
                    f"{-(-wrong.retry_after_us // 1000)} ms",
                    max(wrong.retry_after_us, 1),
                )
            raise api.ApiError(500, f"Service internal error: {wrong.reason or 'no answer could be had'}")
        whole = [replies[index] for index in range(len(chunks))]
        rows: list[Merged] = [merged for reply in whole for merged in reply.body["searches"]]
        return whole, rows

    def _plan(self, spec: Collection, searches: Sequence[api.Search], timeout: int, batch: bool) -> Plan:
        shards = self.front.shards(spec)
        figures = _figures(searches)
        name = f"vector:{spec.name}"
        model = self.front.broker.costs.model(name, float(spec.work), len(figures))
        query_class = self.front.classes[spec.name][batch]
        top = TopK(
            [one.limit for one in searches],
            [one.offset for one in searches],
            [one.want.threshold for one in searches],
        )
        body = api.ask_of(spec.name, searches)
        return Plan(
            query_class,
            "vectors",
            zlib.crc32(searches[0].vector),
            name,
            tuple(PartPlan(shard, 1 / len(shards), OP, spec.name) for shard in shards),
            search=SearchPlan(
                name,
                body,
                top,
                figures,
                int(model.predict(figures)),
                timeout,
                self.front.broker.settings.classes[query_class].timeout_us // 2 if batch else 0,
            ),
            front="vector",
        )


def _figures(searches: Sequence[api.Search]) -> tuple[float, ...]:
    return search_figures(
        len(searches),
        sum(one.want.limit for one in searches),
        sum(one.want.filter is not None for one in searches),
    )
