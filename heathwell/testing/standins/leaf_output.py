"""A leaf's output, which injected stalls delay; partial replies delay the second half of a frame."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

from heathwell.eventloop import Stream, StreamBrokenError
from heathwell.testing.standins.leaf_faults import OUTPUT_FAULTS, ActiveFaults, LeafFault


class LeafOutput:
    """Writes frames to streams, in order, subject to the active faults."""

    def __init__(self, faults: ActiveFaults, is_from_broker: Callable[[Stream], bool]) -> None:
        self._faults = faults
        self._is_from_broker = is_from_broker
        self._delayed: dict[Stream, list[bytes]] = {}

    def send(self, stream: Stream, frame: bytes) -> None:
        """Write a frame, or delay the frame or its second half."""
        if stream.closed:
            return
        if stream in self._delayed:
            self._delayed[stream].append(frame)
            return
        if self._faults.is_active(LeafFault.STALL):
            self._delayed[stream] = [frame]
            return
        to_write = frame
        if self._faults.is_active(LeafFault.PARTIAL_REPLY) and self._is_from_broker(stream):
            half = len(frame) // 2
            to_write = frame[:half]
            self._delayed[stream] = [frame[half:]]
        with contextlib.suppress(StreamBrokenError):
            stream.write(to_write)

    def release(self) -> None:
        """Write the delayed frames, unless a fault of the output is still active."""
        if any(self._faults.is_active(fault) for fault in OUTPUT_FAULTS):
            return
        delayed = self._delayed
        self._delayed = {}
        for stream, frames_of_stream in delayed.items():
            for frame in frames_of_stream:
                self.send(stream, frame)

    def discard(self, stream: Stream) -> None:
        """Drop the delayed frames of a stream that has ended."""
        self._delayed.pop(stream, None)

    def clear(self) -> None:
        """Drop all delayed frames."""
        self._delayed.clear()
