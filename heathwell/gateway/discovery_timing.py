"""When calls of discovery are overdue, and when the next one is made: the platform's times and the backoff.

The module has no I/O and no clock. The times of the platform are those of its protocol.
"""

from __future__ import annotations

import random

MAX_HOLD_US = 60_000_000  # longest hold time of a watch
MAX_RESPONSE_US = 2_000_000  # what discovery takes for an answer at most, beyond the hold time
# A change takes effect EFFECTIVE_AFTER_SILENCE_US after discovery stopped responding, or
# EFFECTIVE_AFTER_WAIT_US after the end of a hold time if that is later.
EFFECTIVE_AFTER_SILENCE_US = 6_000_000
EFFECTIVE_AFTER_WAIT_US = 2_000_000
EFFECTIVE_AFTER_MOVE_US = 4_000_000  # from SIGHUP until the list at a new address takes effect
WATCH_CONTINUES_WITHIN_US = 200_000  # from an answer to the next call of the same watch
MAX_STALL_US = 150_000  # for which the broker may be held up between reading its clock and sending

# A call without a hold time is overdue this long after it was sent, twice as long while such calls are
# overdue in a row: late enough for the transit, and early enough to call a recovered discovery in time.
RESPONSE_TIMEOUT_US = MAX_RESPONSE_US + 100_000
MAX_RESPONSE_TIMEOUT_US = 2 * RESPONSE_TIMEOUT_US
# A connect is overdue after this time, doubled up to the maximum while connects are overdue in a row.
CONNECT_TIMEOUT_US = 350_000
MAX_CONNECT_TIMEOUT_US = 4 * CONNECT_TIMEOUT_US
# A call with a hold time is overdue this long after it: early enough for a second call to be answered before
# a change that the first one missed binds.
HOLD_OVERDUE_US = 500_000
# Bounds of the pause after a failed call. The first maximum holds while a missed change may take effect. With
# the second one two more calls may fail, and a third be answered, before a drain binds at a discovery that
# has recovered.
MIN_RETRY_PAUSE_US = 100_000
MAX_URGENT_PAUSE_US = 800_000
MAX_RETRY_PAUSE_US = 1_500_000
# Hold times and pauses are reduced by a random fraction, so that brokers that were started together do not
# call at the same time. These are the smallest fractions that remain.
MIN_HOLD_FRACTION = 0.75
MIN_PAUSE_FRACTION = 0.5


def longest_wait(grace_us: int) -> int:
    """Return the longest hold time (us) of a watch that can be replaced in time if it gets no response.

    The missing response must be noticed, and the watch reopened and answered, before a missed change binds: a
    change takes effect ``EFFECTIVE_AFTER_SILENCE_US`` after discovery stopped responding, or
    ``EFFECTIVE_AFTER_WAIT_US`` after the hold time, and a drain binds ``grace_us`` later. In the worst case
    discovery stops responding as the call begins.
    """
    renewed_us = HOLD_OVERDUE_US + CONNECT_TIMEOUT_US + MAX_RESPONSE_US + MAX_STALL_US
    if renewed_us <= EFFECTIVE_AFTER_WAIT_US + grace_us:
        return MAX_HOLD_US
    return max(EFFECTIVE_AFTER_SILENCE_US + grace_us - renewed_us, 0)


class CallTiming:
    """Timeouts of calls, and pauses between them.

    ``hold_us`` is the longest hold time of a call. A change binds ``grace_us`` after it takes effect; until
    one that was missed binds, failed calls are repeated soon. Calls that discovery refuses are repeated soon
    only after a silence or a move: it may have too many callers, and more calls would keep it so.
    """

    def __init__(self, hold_us: int, grace_us: int, seed: int) -> None:
        self.hold_us = min(hold_us, longest_wait(grace_us))
        self.random = random.Random(seed)
        self.connect_timeout_us = CONNECT_TIMEOUT_US
        self._grace_us = grace_us
        self._response_timeout_us = RESPONSE_TIMEOUT_US
        self._pause_us = MIN_RETRY_PAUSE_US
        # Until a change binds that was missed in a silence or a move, and until one binds that was missed by
        # a broken call; 0 if none can have been missed.
        self._urgent_until_us = 0
        self._broken_until_us = 0

    def next_hold_us(self) -> int:
        """Return the hold time of the next call of a watch."""
        return int(self.hold_us * self.random.uniform(MIN_HOLD_FRACTION, 1.0))

    def response_timeout_us(self, hold_us: int) -> int:
        """Return how long after it was sent a call is overdue; ``hold_us`` is 0 without a hold time."""
        return hold_us + HOLD_OVERDUE_US if hold_us else self._response_timeout_us

    def on_move(self, now_us: int) -> None:
        """Begin anew at another address of discovery."""
        self.connect_timeout_us = CONNECT_TIMEOUT_US
        self._response_timeout_us = RESPONSE_TIMEOUT_US
        self._pause_us = MIN_RETRY_PAUSE_US
        self._urgent_until_us = now_us + EFFECTIVE_AFTER_MOVE_US + self._grace_us

    def on_answer(self, *, is_used: bool, is_in_time: bool) -> None:
        """End the backoff; the time for an answer is ordinary again only if this one came within that."""
        self.connect_timeout_us = CONNECT_TIMEOUT_US
        self._pause_us = MIN_RETRY_PAUSE_US
        if is_in_time:
            self._response_timeout_us = RESPONSE_TIMEOUT_US
        if is_used:
            self._urgent_until_us = 0
            self._broken_until_us = 0

    def on_overdue_connect(self) -> bool:
        """Give the next connect more time; return whether connects are overdue in a row."""
        was_first = self.connect_timeout_us == CONNECT_TIMEOUT_US
        self.connect_timeout_us = min(2 * self.connect_timeout_us, MAX_CONNECT_TIMEOUT_US)
        return not was_first

    def on_overdue_response(self) -> None:
        """Give the next call without a hold time more time."""
        self._response_timeout_us = min(2 * self._response_timeout_us, MAX_RESPONSE_TIMEOUT_US)

    def on_overdue_watch(self, sent_at_us: int, hold_us: int) -> None:
        """Repeat failed calls soon until the changes bind that an overdue call with a hold time may miss."""
        effective_at_us = max(
            sent_at_us + EFFECTIVE_AFTER_SILENCE_US,
            sent_at_us + hold_us + EFFECTIVE_AFTER_WAIT_US,
        )
        self._pause_us = MIN_RETRY_PAUSE_US
        self._urgent_until_us = max(self._urgent_until_us, effective_at_us + self._grace_us)

    def pause_after_refusal_us(self, now_us: int) -> int | None:
        """Return the pause after a call that was refused; None if the decision module decides on the next."""
        if now_us + min(self._pause_us, MAX_URGENT_PAUSE_US) >= self._urgent_until_us:
            return None
        return self._next_pause_us(MAX_URGENT_PAUSE_US)

    def pause_after_break_us(self, now_us: int) -> int:
        """Return the pause after a call that failed without an answer."""
        if not self._broken_until_us:
            self._broken_until_us = now_us + EFFECTIVE_AFTER_SILENCE_US + self._grace_us
        is_urgent = now_us < max(self._urgent_until_us, self._broken_until_us)
        return self._next_pause_us(MAX_URGENT_PAUSE_US if is_urgent else MAX_RETRY_PAUSE_US)

    def _next_pause_us(self, longest_us: int) -> int:
        """Return a pause up to the longest, and double the one after it."""
        pause_us = min(self._pause_us, longest_us)
        self._pause_us = min(2 * pause_us, MAX_RETRY_PAUSE_US)
        return int(pause_us * self.random.uniform(MIN_PAUSE_FRACTION, 1.0))
