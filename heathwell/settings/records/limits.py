"""Settings of the audited rules, of a broker's limits and of retry storms."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, field

from heathwell.settings.records.base import Record, count, described, duration, fraction, size


class Rules(Record):
    """Parameters of the rules that brokers keep and the auditor checks."""

    drain_grace: Annotated[int, duration("nothing new to a host this long after word of its drain")] = (
        1_000_000
    )
    fall_multiple: Annotated[float, Meta(ge=0, description="times its capacity that tip a cold host")] = 0.0
    fall_after: Annotated[int, duration("for how long that must last")] = 0
    start_capacity: Annotated[float, fraction("share of its capacity that a host starts with")] = 1.0
    warm_within: Annotated[int, duration("when it has all of its capacity")] = 0
    must_ask: Annotated[int, duration("a broker counts as told by discovery after this")] = 10_000_000
    free_resends: Annotated[int, count("further attempts free in a window")] = 0
    additional_attempt_ratio: Annotated[
        float, Meta(ge=0, description="further attempts a query or part taken")
    ] = field(default=0.0, name="further-ratio")
    counted_over: Annotated[int, duration("the window of that budget; 0: no budget is stated")] = 0


class Limits(Record):
    """Limits of a broker's resources and attempts."""

    attempts: Annotated[int, count("attempts a part", 1)] = 3
    open_cap: Annotated[int, count("queries and parts held at once; 0: no limit")] = 0
    second_copies: Annotated[bool, described("two attempts of a part may be out at once")] = False
    cancelling: Annotated[bool, described("attempts may be called off")] = True
    probing: Annotated[bool, described("hosts may be probed")] = True
    sends_retry_after: Annotated[bool, described("refusals say when to come back")] = field(
        default=True, name="advise"
    )
    max_retry_after_us: Annotated[int, duration("longest advice that clients heed")] = field(
        default=500_000, name="max-advice"
    )
    parts_a_call: Annotated[int, count("parts of one turn that share a call", 1)] = 1
    warm_keys: Annotated[bool, described("hosts do less work for keys met lately")] = False
    weight_by_work: Annotated[bool, described("worth is counted in proportion to a query's work")] = field(
        default=False, name="by-work"
    )
    marks_retry: Annotated[bool, described("clients mark repeats")] = False
    tick: Annotated[int, duration("how much before a deadline the final answer is given", 1000)] = 5_000
    reply_transit_us: Annotated[int, duration("of the client's time, kept for the reply's way back")] = field(
        default=20_000, name="transit"
    )
    connect_timeout: Annotated[int, duration("how long a connect may take", 1000)] = 250_000
    probe_timeout: Annotated[int, duration("how long a probe may take", 1000)] = 250_000
    idle_close: Annotated[int, duration("idle connections to hosts close after this", 1000)] = 30_000_000
    host_connections: Annotated[int, count("connections of a broker to one host", 1)] = 1
    busy_connection: Annotated[int, count("parts out on each from which another is opened", 1)] = 4
    clients: Annotated[int, count("client connections at once", 1)] = 12_000
    clients_an_address: Annotated[int, count("client connections of one address at once; 0: no limit")] = 0
    max_pipelined_requests: Annotated[int, count("requests of one connection at work at once", 1)] = field(
        default=64, name="pipelined"
    )
    max_keys_per_get: Annotated[int, count("keys in one get", 1)] = field(default=200, name="keys-a-get")
    max_line_bytes: Annotated[int, size("longest request line")] = field(default=65_536, name="line")
    value: Annotated[int, size("longest data block that a refused storage command may carry")] = 1 << 20
    max_unread_bytes: Annotated[int, size("bytes a client may leave unread before it is cut off")] = field(
        default=1 << 22, name="unread"
    )


class RetryStorms(Record):
    """Detection and damping of retry and reconnect storms."""

    enabled: Annotated[
        bool, described("recognise and damp them, and advise from a calendar of what hosts can take")
    ] = field(default=False, name="on")
    longest_retry_after_us: Annotated[
        int, duration("advice later than this is no use to a client", 200_000)
    ] = field(default=8_000_000, name="useful")
    repeat_interval_us: Annotated[
        int, duration("the same question of the same client within this is a repeat", 1000)
    ] = field(default=3_000_000, name="repeat")
    accept_rate: Annotated[float, Meta(ge=0, description="connects taken in a second; 0: no bound")] = field(
        default=0.0, name="accepts"
    )
    initial_accept_rate: Annotated[
        float, Meta(ge=0, description="the same just after the start, growing; 0: no bound")
    ] = field(default=0.0, name="first-accepts")
    initial_work_rate_us: Annotated[
        int, duration("work let in a second just after the start, growing; 0: no bound")
    ] = field(default=0, name="first-rate")
