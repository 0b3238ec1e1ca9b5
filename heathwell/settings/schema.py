"""The records of a settings file, with what each key means; the page for operators is made from here."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated, Literal

from msgspec import Meta, Struct, field


def _time(text: str, ge: int = 0) -> Meta:
    return Meta(ge=ge, description=text, extra={"unit": "time"})


def _count(text: str, ge: int = 0) -> Meta:
    return Meta(ge=ge, description=text)


def _share(text: str) -> Meta:
    return Meta(ge=0, le=1, description=text)


def _say(text: str) -> Meta:
    return Meta(description=text)


def _size(text: str) -> Meta:
    return Meta(ge=1, description=text, extra={"unit": "size"})


def _each(key: str, text: str) -> Meta:
    return Meta(description=text, extra={"each": key})


NAME = Meta(description="its name", min_length=1, extra={"positional": True})


class Record(Struct, rename="kebab", forbid_unknown_fields=True):
    """A record of settings: keys are written with dashes."""


class QueryClass(Record):
    """One class of query."""

    name: Annotated[str, NAME]
    latency_objective_us: Annotated[int, _time("wanted time", 1)] = field(name="aim")
    timeout_us: Annotated[int, _time("when the client has given up", 1)] = field(name="limit")
    idempotency: Annotated[Literal["safe", "keyed", "unsafe"], _say("whether a part may be sent again")] = (
        field(default="safe", name="repeat")
    )
    idempotency_window_us: Annotated[
        int, _time("how long a repeat of a keyed part is dropped by the hosts")
    ] = field(default=0, name="dedup")
    priority_weight: Annotated[float, Meta(gt=0, description="worth of a query answered in its aim")] = field(
        default=1.0, name="worth"
    )
    late_weight: Annotated[float, _share("share of the worth that is left after the aim")] = field(
        default=0.0, name="late-worth"
    )
    partial_weight: Annotated[float, _share("share of the worth of a partial answer")] = field(
        default=0.0, name="partial-worth"
    )
    required_fraction: Annotated[float, _share("share of the parts' weight that makes a whole answer")] = (
        field(default=1.0, name="need")
    )
    minimum_fraction: Annotated[float, _share("least share answered at all; 0: as need")] = field(
        default=0.0, name="floor"
    )
    second_step_parts: Annotated[int, _count("parts of a second step, fetched from shards that answered")] = (
        field(default=0, name="fetch")
    )
    fetch_work: Annotated[float, _share("work of such a part against one of the first step")] = 0.5
    wanted_age: Annotated[int, _time("age of data that is wanted; older is stated as stale; 0: any")] = 0
    max_age: Annotated[int, _time("greatest age of data that 'missing' still takes; 0: any")] = 0
    stale: Annotated[
        Literal["use", "missing", "another"],
        _say("with older data: use it and say so, take the part as missing, or ask another holder once"),
    ] = "use"
    across: Annotated[
        Literal["any", "prefer-home", "never"],
        _say("hosts of other regions: as any, only where home has none to send to, or never"),
    ] = "any"
    work: Annotated[int, _time("usual work of a part at a host, for hints and stand-ins", 1)] = 40_000


class KeySpace(Record):
    """Keys of one form, each a query."""

    prefix: Annotated[str, NAME]
    query_class: Annotated[str, _say("class of its queries")] = field(name="class")
    shape: Annotated[
        Literal["record", "search", "report"],
        _say(
            "record: prefix:<trader>:<id>, one part; search: prefix:<term>, a part a shard; "
            "report: prefix:<trader>[,<trader>...]:<day>"
        ),
    ]
    parts: Annotated[int, _count("shards of a search, in a row from the term's first", 1)] = 1
    report_parts: Annotated[int, _count("shards that hold one trader's days", 1)] = 4


class Collection(Record):
    """Vectors searched by the vector front, a search a query over all of its shards."""

    name: Annotated[str, NAME]
    query_class: Annotated[str, _say("class of its searches")] = field(name="class")
    size: Annotated[int, _count("numbers of a vector", 1)]
    batch_class: Annotated[str, _say("class of searches in batches; as class without")] = ""
    distance: Annotated[Literal["cosine", "dot", "euclid"], _say("how near two vectors are")] = "cosine"
    index: Annotated[
        Literal["exact", "hnsw"], _say("how hosts search: all vectors, or by an index that may miss some")
    ] = "exact"
    parts: Annotated[int, _count("its shards, in a row; 0: all of the fleet's")] = 0
    work: Annotated[int, _time("usual work of one search at a host, until it is learned", 1)] = 10_000
    points: Annotated[int, _count("stand-ins: points a shard", 1)] = 500
    overlap: Annotated[float, _share("stand-ins: share of points that the next shard holds too")] = 0.0
    spread: Annotated[
        float,
        Meta(
            gt=0,
            description="stand-ins: spread of a shard's points about its centre, against that of the centres",
        ),
    ] = 1.0


class Vector(Record):
    """The vector front, of Qdrant's REST form."""

    listen: Annotated[str, _say("HTTP address; port 0 lets the kernel choose; empty: no such front")] = ""
    body: Annotated[int, _size("longest request body")] = 32 << 20
    head: Annotated[int, _size("longest request line and headers")] = 65_536
    slow: Annotated[int, _time("a request that has begun must be whole within this", 1000)] = 10_000_000
    idle: Annotated[int, _time("idle connections close after this", 1000)] = 60_000_000
    batch: Annotated[int, _count("searches in one batch", 1)] = 10_000
    rows: Annotated[int, _count("offset and limit together", 1)] = 10_000
    chunk: Annotated[int, _time("a batch is cut into parts that cost a host so much at the most", 1)] = 30_000
    chunks_at_once: Annotated[int, _count("parts of one batch that are out at once", 1)] = 4
    chunk_searches: Annotated[int, _count("searches that share a part at the most", 1)] = 64


class Fronts(Record):
    """How fronts share the hosts, by the cost of their work. Without a queue target nothing here acts."""

    queue_target: Annotated[int, _time("queueing at hosts up to which work is sent out; 0: no bound")] = 0
    patience: Annotated[float, _share("share of a query's aim that it may wait for its turn")] = 0.25
    memcached: Annotated[float, Meta(gt=0, description="weight of the memcached front")] = 1.0
    vector: Annotated[float, Meta(gt=0, description="weight of the vector front")] = 1.0


class Storms(Record):
    """Retry and reconnect storms."""

    on: Annotated[
        bool, _say("recognise and damp them, and advise from a calendar of what hosts can take")
    ] = False
    useful: Annotated[int, _time("advice later than this is no use to a client", 200_000)] = 8_000_000
    repeat: Annotated[int, _time("the same question of the same client within this is a repeat", 1000)] = (
        3_000_000
    )
    accepts: Annotated[float, Meta(ge=0, description="connects taken in a second; 0: no bound")] = 0.0
    first_accepts: Annotated[
        float, Meta(ge=0, description="the same just after the start, growing; 0: no bound")
    ] = 0.0
    first_rate: Annotated[int, _time("work let in a second just after the start, growing; 0: no bound")] = 0


class Rules(Record):
    """The figures of the rules."""

    drain_grace: Annotated[int, _time("nothing new to a host this long after word of its drain")] = 1_000_000
    fall_multiple: Annotated[float, Meta(ge=0, description="times its capacity that tip a cold host")] = 0.0
    fall_after: Annotated[int, _time("for how long that must last")] = 0
    start_capacity: Annotated[float, _share("share of its capacity that a host starts with")] = 1.0
    warm_within: Annotated[int, _time("when it has all of its capacity")] = 0
    must_ask: Annotated[int, _time("a broker counts as told by discovery after this")] = 10_000_000
    free_resends: Annotated[int, _count("further attempts free in a window")] = 0
    further_ratio: Annotated[float, Meta(ge=0, description="further attempts a query or part taken")] = 0.0
    counted_over: Annotated[int, _time("the window of that budget; 0: no budget is stated")] = 0


class Limits(Record):
    """What a broker may do and hold."""

    attempts: Annotated[int, _count("attempts a part", 1)] = 3
    open_cap: Annotated[int, _count("queries and parts held at once; 0: no limit")] = 0
    second_copies: Annotated[bool, _say("two attempts of a part may be out at once")] = False
    cancelling: Annotated[bool, _say("attempts may be called off")] = True
    probing: Annotated[bool, _say("hosts may be probed")] = True
    advise: Annotated[bool, _say("refusals say when to come back")] = True
    max_advice: Annotated[int, _time("longest advice that clients heed")] = 500_000
    parts_a_call: Annotated[int, _count("parts of one turn that share a call", 1)] = 1
    warm_keys: Annotated[bool, _say("hosts do less work for keys met lately")] = False
    by_work: Annotated[bool, _say("worth is counted in proportion to a query's work")] = False
    marks_retry: Annotated[bool, _say("clients mark repeats")] = False
    tick: Annotated[int, _time("how much before a deadline the final answer is given", 1000)] = 5_000
    transit: Annotated[int, _time("of the client's time, kept for the reply's way back")] = 20_000
    connect_timeout: Annotated[int, _time("how long a connect may take", 1000)] = 250_000
    probe_timeout: Annotated[int, _time("how long a probe may take", 1000)] = 250_000
    idle_close: Annotated[int, _time("idle connections to hosts close after this", 1000)] = 30_000_000
    host_connections: Annotated[int, _count("connections of a broker to one host", 1)] = 1
    busy_connection: Annotated[int, _count("parts out on each from which another is opened", 1)] = 4
    clients: Annotated[int, _count("client connections at once", 1)] = 12_000
    clients_an_address: Annotated[int, _count("client connections of one address at once; 0: no limit")] = 0
    pipelined: Annotated[int, _count("requests of one connection at work at once", 1)] = 64
    keys_a_get: Annotated[int, _count("keys in one get", 1)] = 200
    line: Annotated[int, _size("longest request line")] = 65_536
    value: Annotated[int, _size("longest data block that a refused storage command may carry")] = 1 << 20
    unread: Annotated[int, _size("bytes a client may leave unread before it is cut off")] = 1 << 22


class FleetBudget(Record):
    """What all brokers may do together, divided among those alive. `further`: attempts a second beyond the
    first that are needed. `cold`: parts a second to a host just started, at its start's capacity, rising with
    it. `connections`: connections held at one host at once; each broker's first is its own.
    """

    name: Annotated[
        Literal["further", "cold", "connections"],
        Meta(description="what is divided", extra={"positional": True}),
    ]
    whole: Annotated[
        float, Meta(gt=0, description="for the whole fleet; of cold and connections at each host")
    ]
    aside: Annotated[
        float,
        _share(
            "share of it that is set aside for brokers' own minima, in equal parts; of "
            "connections one each, whatever this says"
        ),
    ] = 0.2
    burst: Annotated[int, _time("of a rate, for how long it may be saved up", 10_000)] = 1_000_000
    linger: Annotated[
        int, _time("hosts close a broker's connection from which nothing came for so long", 100_000)
    ] = 1_500_000


class Fleet(Record):
    """How shards lie on hosts: shard s is held by cells s, s+1 ... (mod cells), width of them; and, with
    keepers named, the fleet's own control.
    """

    shards: Annotated[int, _count("shards", 1)]
    cells: Annotated[int, _count("cells", 1)]
    width: Annotated[int, _count("holders a shard", 1)]
    zones: Annotated[list[str], _say("zones, by which hosts and brokers stand")]
    leaves: Annotated[int, _count("stand-in hosts of a demo fleet, one a cell in turn")] = 0
    brokers: Annotated[int, _count("brokers of a demo fleet, zones in turn")] = 0
    called: Annotated[str, _say("name of the fleet: keepers refuse who says another")] = ""
    keepers: Annotated[
        list[str],
        _say(
            "host:port of each keeper, which hold the roll of brokers and lend budgets; "
            "none: brokers share nothing"
        ),
    ] = []
    most: Annotated[
        int, _count("brokers that there may ever be at once, dying ones included; 0: as brokers")
    ] = 0
    lease: Annotated[int, _time("how long a share may be used after it was asked for", 100_000)] = 3_000_000
    renew: Annotated[int, _time("how often shares are renewed", 20_000)] = 1_000_000
    suspect: Annotated[int, _time("silence after which a broker is suspected", 100_000)] = 2_000_000
    dead: Annotated[int, _time("silence after which it is taken for dead", 200_000)] = 5_000_000
    drift: Annotated[float, _share("how much faster or slower a clock may run")] = 0.03
    evacuate: Annotated[bool, _say("leave a zone that fails, and come back to it, as a fleet")] = False
    zone_bears: Annotated[
        int, _count("parts a second that the hosts of one zone bear; 0: what their answers tell")
    ] = 0
    zone_let_go: Annotated[
        int, _time("brokers of a zone that is left close idle clients over so long; 0: keep them")
    ] = 10_000_000
    budgets: Annotated[list[FleetBudget], _each("budget", "budgets of the whole fleet")] = []


class Discovery(Record):
    """The host list's service."""

    ask: Annotated[bool, _say("brokers must ask for changes (no: they are pushed)")] = True
    address: Annotated[str, _say("host:port; port 0 lets the kernel choose")] = "127.0.0.1:0"
    notice: Annotated[int, _time("how late changes are told")] = 500_000
    silent_notice: Annotated[int, _time("how late a host is missed that went without a word")] = 3_000_000
    timeout: Annotated[int, _time("how long a call may take", 1000)] = 1_000_000


class Leaf(Record):
    """The stand-in hosts."""

    slots: Annotated[int, _count("parts at work at once", 1)] = 4
    queue: Annotated[int, _count("parts that wait; more are turned away")] = 24
    speed: Annotated[float, Meta(gt=0, description="work done in a second, in seconds, a slot")] = 1.0
    noise: Annotated[float, _share("spread of the work of a part")] = 0.3
    refresh: Annotated[int, _time("how often the reported inflight is taken anew")] = 200_000
    drain_for: Annotated[int, _time("how long a draining host finishes work before it leaves")] = 3_000_000
    rows: Annotated[int, _count("product rows a shard and term")] = 5


class Freshness(Record):
    """Ages of answers. The source's clock is asked, so that no host's clock need be right."""

    on: Annotated[bool, _say("state ages, and rule on stale data")] = False
    source: Annotated[str, _say("host:port of the source's clock; port 0 for a demo fleet's own")] = (
        "127.0.0.1:0"
    )
    sync: Annotated[int, _time("how often the source's clock is asked", 10_000)] = 1_000_000
    explain: Annotated[int, _count("latest queries that /explain can tell of")] = 500
    rate: Annotated[float, Meta(gt=0, description="stand-ins: log positions a shard and second")] = 50.0
    lag: Annotated[int, _time("stand-ins: how far hosts usually are behind")] = 80_000


class Region(Record):
    """One region and its zones."""

    name: Annotated[str, NAME]
    zones: Annotated[list[str], _say("zones that stand in it")]


class RegionLink(Record):
    """The way between two regions."""

    between: Annotated[list[str], _say("the two regions")]
    delay: Annotated[int, _time("its usual delay one way: only what comes on top makes it slow")] = 0
    cost: Annotated[float, Meta(ge=0, description="what a part that crosses takes from cross-budget")] = 1.0


class Across(Record):
    """Several regions served as one. Without regions nothing here acts."""

    decide: Annotated[
        bool, _say("judge the links between regions, and shut or avoid what lies behind them")
    ] = True
    prefer_home: Annotated[bool, _say("use hosts of other regions only where home has none to send to")] = (
        False
    )
    cross_most: Annotated[int, _count("further attempts that cross in a second and broker; 0: no bound")] = 0
    cross_budget: Annotated[
        float,
        Meta(
            ge=0,
            description="cost of crossing parts a second and broker, beyond which "
            "they go there only where home has none; 0: no bound",
        ),
    ] = 0.0
    let_go: Annotated[
        int, _time("a broker cut off from most shards closes idle clients over so long; 0: keeps them")
    ] = 0
    regions: Annotated[list[Region], _each("region", "the regions")] = []
    links: Annotated[
        list[RegionLink], _each("link", "ways between them, where there is something to say")
    ] = []


class BrokerSettings(Record):
    """A broker's doors."""

    listen: Annotated[str, _say("memcached address; port 0 lets the kernel choose")] = "127.0.0.1:0"
    admin: Annotated[str, _say("admin HTTP address")] = "127.0.0.1:0"
    refusals: Annotated[
        Literal["value", "error"],
        _say(
            "how a classic get tells a query refused or failed: a flagged "
            "value, or SERVER_ERROR in place of END (libmemcached takes that for a miss)"
        ),
    ] = "value"
    drain_for: Annotated[int, _time("how long a stopping broker finishes what it holds")] = 5_000_000


class ModuleLevel(Record):
    """A level for the logs of one package."""

    name: Annotated[str, NAME]
    level: Annotated[Literal["debug", "info", "warning", "error"], Meta(extra={"positional": True})] = "info"


class Log(Record):
    """Logs."""

    level: Annotated[Literal["debug", "info", "warning", "error"], _say("least level written")] = "info"
    format: Annotated[Literal["json", "console"], _say("form of a line")] = "console"
    modules: Annotated[list[ModuleLevel], _each("module", "levels of single packages")] = []


class ServiceSettings(Record):
    """A whole settings file."""

    classes: Annotated[list[QueryClass], _each("class", "the classes of query")]
    keys: Annotated[list[KeySpace], _each("keys", "the key space of the memcached front")]
    fleet: Annotated[Fleet, _say("shards and hosts")]
    collections: Annotated[list[Collection], _each("collection", "the collections of the vector front")] = []
    vector: Annotated[Vector, _say("the vector front")] = field(default_factory=Vector)
    fronts: Annotated[Fronts, _say("sharing between fronts")] = field(default_factory=Fronts)
    storms: Annotated[Storms, _say("storms of retries and connects")] = field(default_factory=Storms)
    rules: Annotated[Rules, _say("figures of the rules")] = field(default_factory=Rules)
    limits: Annotated[Limits, _say("what a broker may do and hold")] = field(default_factory=Limits)
    discovery: Annotated[Discovery, _say("the host list")] = field(default_factory=Discovery)
    leaf: Annotated[Leaf, _say("stand-in hosts")] = field(default_factory=Leaf)
    freshness: Annotated[Freshness, _say("ages of answers")] = field(default_factory=Freshness)
    across: Annotated[Across, _say("several regions")] = field(default_factory=Across)
    broker: Annotated[BrokerSettings, _say("a broker's doors")] = field(default_factory=BrokerSettings)
    log: Annotated[Log, _say("logs")] = field(default_factory=Log)


Found = Iterator[tuple[str, str]]


def _classes(service_settings: ServiceSettings) -> Found:
    names: set[str] = set()
    if not service_settings.classes:
        yield "class", "at least one class is needed"
    for index, spec in enumerate(service_settings.classes):
        path = f"class[{index}]"
        if spec.name in names:
            yield path, f"class '{spec.name}' is given twice"
        names.add(spec.name)
        if spec.timeout_us < spec.latency_objective_us:
            yield f"{path}.limit", "lies before the aim"
        elif spec.timeout_us <= service_settings.limits.transit + 2 * service_settings.limits.tick:
            yield f"{path}.limit", "leaves no time beside limits.transit and limits.tick"
        if spec.required_fraction <= 0:
            yield f"{path}.need", "must be more than 0"
        if spec.minimum_fraction > spec.required_fraction:
            yield f"{path}.floor", f"must not lie above need ({spec.required_fraction:g})"
        if spec.stale != "use" and spec.idempotency != "safe":
            yield f"{path}.stale", "only a class that is safe to repeat may turn data down"
        if spec.stale == "missing" and not spec.max_age:
            yield f"{path}.max-age", "'missing' needs a max-age"
        if spec.wanted_age > spec.max_age > 0:
            yield f"{path}.wanted-age", "more than max-age"
        if spec.idempotency == "keyed" and not spec.idempotency_window_us:
            yield f"{path}.dedup", "a keyed class must say how long repeats are dropped"
    prefixes: set[str] = set()
    for index, space in enumerate(service_settings.keys):
        path = f"keys[{index}]"
        if space.query_class not in names:
            yield f"{path}.class", f"no class '{space.query_class}'; there are {', '.join(sorted(names))}"
        if space.prefix in prefixes:
            yield path, f"prefix '{space.prefix}' is given twice"
        prefixes.add(space.prefix)
        name = {"search": "parts", "report": "report_parts"}.get(space.shape)
        if name and getattr(space, name) > service_settings.fleet.shards:
            yield f"{path}.{name.replace('_', '-')}", f"more than the {service_settings.fleet.shards} shards"


def _fleet(service_settings: ServiceSettings) -> Found:
    fleet = service_settings.fleet
    if fleet.width > fleet.cells:
        yield "fleet.width", f"more holders than the {fleet.cells} cells"
    if not fleet.zones:
        yield "fleet.zones", "at least one zone is needed"
    if len(set(fleet.zones)) != len(fleet.zones):
        yield "fleet.zones", "a zone is given twice"
    yield from _control(fleet)
    if fleet.leaves and fleet.leaves < fleet.cells:
        yield "fleet.leaves", f"{fleet.leaves} hosts leave some of the {fleet.cells} cells empty"


def _control(fleet: Fleet) -> Found:
    if not fleet.keepers:
        if fleet.budgets:
            yield "fleet.budget[0]", "needs (keepers host:port ...)"
        if fleet.evacuate:
            yield "fleet.evacuate", "needs (keepers host:port ...)"
        return
    if len(fleet.keepers) not in (1, 3, 5):
        yield "fleet.keepers", f"1, 3 or 5 are expected, got {len(fleet.keepers)}"
    if len(set(fleet.keepers)) != len(fleet.keepers):
        yield "fleet.keepers", "one is given twice"
    most = fleet.most or fleet.brokers
    if not most:
        yield "fleet.most", "must say how many brokers there may be"
    if fleet.renew * 3 > fleet.lease:
        yield "fleet.renew", "a lease must last for three renewals at least, as some are lost"
    if fleet.renew * 2 > fleet.suspect or fleet.suspect >= fleet.dead:
        yield "fleet.suspect", "expected: twice renew at most, and before dead"
    if fleet.drift > 0.2:
        yield "fleet.drift", "at most 20%"
    seen: set[str] = set()
    for index, budget in enumerate(fleet.budgets):
        path = f"fleet.budget[{index}]"
        if budget.name in seen:
            yield path, f"budget '{budget.name}' is given twice"
        seen.add(budget.name)
        if budget.name == "connections":
            if budget.whole != int(budget.whole) or (most and budget.whole <= most):
                yield f"{path}.whole", f"a whole number above that of the {most} brokers is expected"
            if budget.linger >= fleet.lease:
                yield (
                    f"{path}.linger",
                    "must be shorter than fleet.lease: what lingers is part of a share's term",
                )
        elif most and (own := int(budget.whole * budget.aside * 1000) // most) and own * budget.burst < 10**9:
            yield (
                f"{path}.burst",
                (
                    f"a broker's own {own / 1000:.3g} a second never make one within it: a longer "
                    "burst, a larger aside, or (aside 0) is needed"
                ),
            )


def _rules(service_settings: ServiceSettings) -> Found:
    rules = service_settings.rules
    if rules.start_capacity <= 0:
        yield "rules.start-capacity", "must be more than 0"
    if bool(rules.fall_multiple) != bool(rules.fall_after):
        yield "rules.fall-multiple", "fall-multiple and fall-after go together"
    if rules.further_ratio and not rules.counted_over:
        yield "rules.further-ratio", "needs counted-over"
    if service_settings.discovery.ask and rules.must_ask < 2 * service_settings.discovery.timeout:
        yield "rules.must-ask", "must be at least twice discovery's timeout: a failed call is asked again"


def _across(service_settings: ServiceSettings) -> Found:
    placed: set[str] = set()
    for index, region in enumerate(service_settings.across.regions):
        for zone in region.zones:
            if zone not in service_settings.fleet.zones:
                yield (
                    f"across.region[{index}].zones",
                    f"no zone '{zone}'; there are {', '.join(service_settings.fleet.zones)}",
                )
            if zone in placed:
                yield f"across.region[{index}].zones", f"zone '{zone}' stands in two regions"
            placed.add(zone)
    for index, spec in enumerate(service_settings.classes):
        if spec.across != "any" and not service_settings.across.regions:
            yield f"class[{index}].across", "needs (across (region ...) ...)"
    names = [region.name for region in service_settings.across.regions]
    seen: set[frozenset[str]] = set()
    for index, link in enumerate(service_settings.across.links):
        path, pair = f"across.link[{index}].between", frozenset(link.between)
        for name in link.between:
            if name not in names:
                yield path, f"no region '{name}'; there are {', '.join(names)}"
        if len(link.between) != 2 or len(pair) != 2:
            yield path, "names two regions"
        elif pair in seen:
            yield path, "the link is given twice"
        seen.add(pair)
    if service_settings.across.regions and placed < set(service_settings.fleet.zones):
        yield "across", f"zones in no region: {', '.join(sorted(set(service_settings.fleet.zones) - placed))}"


def _collections(service_settings: ServiceSettings) -> Found:
    classes = {spec.name: spec for spec in service_settings.classes}
    seen: set[str] = set()
    for index, one in enumerate(service_settings.collections):
        path = f"collection[{index}]"
        if one.name in seen:
            yield path, f"collection '{one.name}' is given twice"
        seen.add(one.name)
        for key, name in (("class", one.query_class), ("batch-class", one.batch_class or one.query_class)):
            spec = classes.get(name)
            if spec is None:
                yield f"{path}.{key}", f"no class '{name}'; there are {', '.join(sorted(classes))}"
            elif spec.second_step_parts:
                yield f"{path}.{key}", f"class '{name}' has a second step, which searches have not"
        if one.parts > service_settings.fleet.shards:
            yield f"{path}.parts", f"more than the {service_settings.fleet.shards} shards"
    if service_settings.vector.listen and not service_settings.collections:
        yield "vector.listen", "there is no collection to serve"


Check = Callable[[ServiceSettings], Found]
CROSS_CHECKS: tuple[Check, ...] = (_classes, _fleet, _rules, _across, _collections)
