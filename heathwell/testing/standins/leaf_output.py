"""A leaf's output: frames are held back, whole or by half, while a stall or a partial reply is injected."""

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
        self._held_back: dict[Stream, list[bytes]] = {}

    def send(self, stream: Stream, frame: bytes) -> None:
        """Write a frame, or hold back the frame or its second half."""
        if stream.closed:
            return
        if stream in self._held_back:
            self._held_back[stream].append(frame)
            return
        if self._faults.is_active(LeafFault.STALL):
            self._held_back[stream] = [frame]
            return
        to_write = frame
        if self._faults.is_active(LeafFault.PARTIAL_REPLY) and self._is_from_broker(stream):
            half = len(frame) // 2
            to_write = frame[:half]
            self._held_back[stream] = [frame[half:]]
        with contextlib.suppress(StreamBrokenError):
            stream.write(to_write)

    def release(self) -> None:
        """Write what was held back, unless a fault still applies."""
        if any(self._faults.is_active(fault) for fault in OUTPUT_FAULTS):
            return
        held_back = self._held_back
        self._held_back = {}
        for stream, frames_of_stream in held_back.items():
            for frame in frames_of_stream:
                self.send(stream, frame)

    def discard(self, stream: Stream) -> None:
        """Drop what is held back for a stream that has ended."""
        self._held_back.pop(stream, None)

    def clear(self) -> None:
        """Drop all that is held back."""
        self._held_back.clear()
