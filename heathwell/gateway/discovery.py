"""The platform's discovery over HTTP: a watch by long polling, from one revision of the list to the next.

The decision module decides when to poll. From then on each answer is passed to the listener, and each
failure. After a failure the next call is made when the module decides to poll again, and after a break early
enough for a change that the broken one missed. :class:`Discovery` owns its calls and the revision of the
broker's list; the listener interprets the answers.

A call that is overdue is not given up: the next one is made beside it, over a connection of its own, and
whichever is answered first is used. So a dead connection is noticed in time, and late answers are not lost.

Discovery serves all brokers in turn, and each entry of an answer costs it work. So a call requests only what
changed since the broker's revision, also after a failed call; at the start that is the revision of the
configured list. The complete list is requested if there is none, or if discovery has moved to another
address.
"""

from __future__ import annotations

from collections.abc import Callable

from heathwell.eventloop import Loop, Net, Timer
from heathwell.gateway.discovery_call import (
    CallProblem,
    CallRefusedError,
    DiscoveryCall,
    DiscoveryConnection,
)
from heathwell.gateway.discovery_timing import RESPONSE_TIMEOUT_US, WATCH_CONTINUES_WITHIN_US, CallTiming
from heathwell.gateway.targets import Targets

# Calls at the present address that are open at a time; the oldest overdue one is closed for a new one.
MAX_OPEN_CALLS = 3
MAX_PREVIOUS_CALLS = 3  # likewise of calls at addresses that discovery has left
PATH = "/api/targets"


class Discovery:
    """Watches the endpoint list at one address, which may change.

    ``rev`` is the revision of the list at the start, ``None`` without a list; ``hold_us`` is the longest hold
    time of a call. With ``pushed`` the watch begins with the process, as changes take effect whether they
    were requested or not. A change binds ``grace_us`` after it takes effect. ``listener`` gets each answer,
    and ``None`` for a failure or for a call without a hold time that is overdue.
    """

    def __init__(
        self,
        loop: Loop,
        net: Net,
        address: str,
        listener: Callable[[Targets | None], None],
        log: Callable[..., None],
        *,
        rev: int | None,
        hold_us: int,
        seed: int = 0,
        pushed: bool = False,
        grace_us: int = 0,
    ) -> None:
        self.loop = loop
        self.net = net
        self.address = address
        self.listener = listener
        self.log = log
        self.calls = 0
        self.failures = 0
        self.rev = rev
        self.pushed = pushed
        self.timing = CallTiming(hold_us, grace_us, seed)
        self._current: DiscoveryCall | None = None
        self._overdue: list[DiscoveryCall] = []  # calls whose late answers are still used, the oldest first
        # Calls at addresses that discovery has left, the oldest first. Their answers are used until the
        # present address has answered, as it may be left before it does.
        self._previous: list[DiscoveryCall] = []
        self._timer: Timer | None = None  # until the present call is overdue, or until the end of a pause
        # Whether the next call is made without a hold time: changes that an overdue watch may have missed are
        # requested so. So is the first answer if lists are pushed, as it may already be in effect.
        self._at_once = pushed

    @property
    def hold_us(self) -> int:
        """The longest hold time of a call."""
        return self.timing.hold_us

    @property
    def open_calls(self) -> int:
        """Number of calls whose answers are still used."""
        return len(self._open_calls())

    def start(self) -> None:
        """Begin to watch if lists are pushed; otherwise the decision module requests the first poll."""
        if self.pushed:
            self.request_update()

    def request_update(self) -> None:
        """Begin to watch, unless a watch is in progress."""
        if self._current is None:
            self._call()

    def move(self, address: str) -> None:
        """Watch another address, at once and from the complete list."""
        self._cancel_timer()
        self._keep_calls_of_previous_address()
        self.address = address
        self.rev = None
        self.timing.on_move(self.loop.now())
        self.request_update()

    def _keep_calls_of_previous_address(self) -> None:
        for call in self._open_calls():
            if call.is_connecting:
                call.close()
        connected = [call for call in self._open_calls() if not call.is_connecting]
        self._previous = connected[-MAX_PREVIOUS_CALLS:]
        self._overdue = []
        self._current = None
        for call in connected[:-MAX_PREVIOUS_CALLS]:
            call.close()

    def close(self) -> None:
        """End the watch."""
        self._cancel_timer()
        self._close_calls(except_for=None)

    # Calls

    def _call(self, connection: DiscoveryConnection | None = None) -> None:
        """Make a call, over the connection of the last one if it can be used."""
        if connection is not None and not connection.is_reusable:
            connection.close()
            connection = None
        hold_us = 0 if self.rev is None or self._at_once else self.timing.next_hold_us()
        call = DiscoveryCall(
            self.loop,
            self.net,
            self,
            self.address,
            self._path(hold_us),
            connection,
            hold_us=hold_us,
            known_rev=self.rev,
        )
        self.calls += 1
        self._wait_for(call)

    def _wait_for(self, call: DiscoveryCall) -> None:
        """Make a call the present one, which is overdue after the time for its connect or for its answer."""
        timing = self.timing
        timeout_us = (
            timing.connect_timeout_us if call.is_connecting else timing.response_timeout_us(call.hold_us)
        )
        self._cancel_timer()
        self._current = call
        self._timer = self.loop.call_at(self.loop.now() + timeout_us, self._on_overdue)

    def on_connected(self, call: DiscoveryCall) -> None:
        """Wait for this call's answer, and close the calls that are still connecting."""
        for other in self._open_calls():
            if other.is_connecting:
                other.close()
        self._overdue = [other for other in self._overdue if other is not call and not other.is_connecting]
        self._wait_for(call)

    def _open_calls(self) -> list[DiscoveryCall]:
        current = [] if self._current is None else [self._current]
        return [*self._previous, *self._overdue, *current]

    def _path(self, hold_us: int) -> str:
        return PATH if self.rev is None else f"{PATH}?from={self.rev}&hold_ms={hold_us // 1000}"

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_calls(self, *, except_for: DiscoveryCall | None) -> None:
        for call in self._open_calls():
            if call is not except_for:
                call.close()
        self._previous = []
        self._overdue = []
        self._current = None

    # Answers

    def on_answer(self, call: DiscoveryCall, targets: Targets) -> None:
        """Use an answer, on time or late, and continue the watch."""
        if call in self._previous:
            self._on_answer_of_previous_address(call, targets)
            return
        took_us = self.loop.now() - call.sent_at_us
        is_used = self._update_revision(call, targets)
        is_in_time = took_us <= call.hold_us + RESPONSE_TIMEOUT_US
        self.timing.on_answer(is_used=is_used, is_in_time=is_in_time)
        self._at_once = False
        if call is self._current:
            self._close_calls(except_for=call)
            self._call(call.connection)
        else:
            self._on_late_answer(call, took_us)
        if is_used:
            self.listener(targets)

    def _on_answer_of_previous_address(self, call: DiscoveryCall, targets: Targets) -> None:
        """Use an answer of an address that was left; the present one's complete list is still awaited."""
        self.log("info", "discovery: answer of the previous address", address=call.address)
        self._drop_calls_up_to(call)
        call.close()
        is_older = call.known_rev is not None and targets.rev < call.known_rev
        if targets.all or not is_older:
            self.listener(targets)

    def _on_late_answer(self, call: DiscoveryCall, took_us: int) -> None:
        """Drop the overdue calls up to this one; if there is no later one, continue the watch with it."""
        self.log("info", "discovery: late answer", after_ms=took_us // 1000, hold_ms=call.hold_us // 1000)
        self._drop_calls_up_to(call)
        if self._current is None:
            self._call(call.connection)
        else:
            call.close()

    def _drop_calls_up_to(self, call: DiscoveryCall) -> None:
        """Close the calls that were made before this one, and no longer wait for any of them."""
        calls = self._open_calls()
        position = calls.index(call)
        for earlier in calls[:position]:
            earlier.close()
        dropped = calls[: position + 1]
        self._previous = [other for other in self._previous if other not in dropped]
        self._overdue = [other for other in self._overdue if other not in dropped]

    def _update_revision(self, call: DiscoveryCall, targets: Targets) -> bool:
        """Store the answer's revision; return whether the answer is to be used."""
        if self.rev is None and call.known_rev is not None and not targets.all:
            return False  # changes relative to a list that was dropped meanwhile
        is_older = self.rev is not None and targets.rev < self.rev
        if is_older and call.known_rev != self.rev:
            return False  # another call has brought a later list meanwhile
        if is_older and not targets.all:
            self.rev = None  # changes relative to a list older than ours: the complete list is needed
            return False
        self.rev = targets.rev
        return True

    # Failures

    def _on_overdue(self) -> None:
        """Make another call beside an overdue one, whose late answer is still used."""
        call = self._current
        if call is None:
            return
        self._overdue.append(call)
        while len(self._overdue) >= MAX_OPEN_CALLS:
            self._overdue.pop(0).close()
        self._at_once = True
        self.log(
            "info",
            "discovery: call overdue, calling again",
            after_ms=(self.loop.now() - call.sent_at_us) // 1000,
            connected=not call.is_connecting,
            hold_ms=call.hold_us // 1000,
        )
        is_failure = self._adapt_to_overdue(call)
        self._call()
        if is_failure:
            self.failures += 1
            self.listener(None)

    def _adapt_to_overdue(self, call: DiscoveryCall) -> bool:
        """Give the next call more time, or retry it sooner; return whether the overdue one is a failure.

        A connect is one only if the connect before it was overdue, too; a call with a hold time is not, as
        the next one shows whether discovery is there.
        """
        if call.is_connecting:
            return self.timing.on_overdue_connect()
        if call.hold_us:
            self.timing.on_overdue_watch(call.sent_at_us, call.hold_us)
            return False
        self.timing.on_overdue_response()
        return True

    def on_failure(self, call: DiscoveryCall, problem: CallProblem) -> None:
        """Repeat the present call after a pause, or leave it to the decision module; drop another one."""
        if call is not self._current:
            self._previous = [other for other in self._previous if other is not call]
            self._overdue = [other for other in self._overdue if other is not call]
            return
        waited_us = self.loop.now() - call.sent_at_us
        if call.found_connection_ended and waited_us < WATCH_CONTINUES_WITHIN_US:
            self._call()  # discovery ended the connection after its last answer, and the watch goes on
            return
        self._current = None
        self.failures += 1
        self._at_once = self._at_once or self.pushed
        self.log("info", "discovery: call failed or watch broken", why=str(problem))
        self._cancel_timer()
        if isinstance(problem, CallRefusedError):
            pause_us = self.timing.pause_after_refusal_us(self.loop.now())
        else:
            pause_us = self.timing.pause_after_break_us(self.loop.now())
        if pause_us is not None:
            self._timer = self.loop.call_at(self.loop.now() + pause_us, self._call)
        self.listener(None)
