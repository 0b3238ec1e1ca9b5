"""Messages between a rollout controller and the agents of machines, and an operator's commands."""

from __future__ import annotations

import msgspec

from heathwell.codec.frames.message import Message


class DesiredVersion(Message, tag="want"):
    """The version that a controller requires of a broker, with the paths of its files.

    The machine's agent rejects it if its (term, number) is older than the last one.
    """

    term: int
    number: int
    broker: str
    version: str
    program: str = ""
    settings: str = ""


class DesiredVersionReply(Message, tag="wanttaken"):
    """Whether a desired version was accepted; ``why`` is empty if it was."""

    broker: str
    version: str
    why: str = ""


class MachineRequest(Message, tag="askmachine"):
    """Requests the status of a machine's brokers."""


class BrokerStatus(msgspec.Struct, omit_defaults=True, rename={"desired_version": "wanted"}):
    """One broker of a machine; counters are those of its serving process, numbered ``run``.

    ``failed`` is the reason why the desired version failed, and ``silent`` is set while the process does not
    answer polls.
    """

    broker: str
    zone: str
    state: str
    version: str = ""
    desired_version: str = ""
    failed: str = ""
    run: int = 0
    deaths: int = 0
    address: str = ""
    silent: bool = False
    classes: dict[str, dict[str, float]] = {}
    cpu_us: int = 0
    memory: int = 0


class MachineView(Message, tag="machineview"):
    """A machine's reply to :class:`MachineRequest`."""

    machine: str
    running: list[BrokerStatus] = []


class OperatorCommand(Message, tag="order"):
    """An operator's command ``word``, with the operator's name ``who`` and the reason ``why``.

    A rollout controller accepts hold, resume, undo and status; a coordinator that decides on zones accepts
    leave, return, pin, unpin and status.
    """

    word: str
    who: str = ""
    why: str = ""
    zone: str = ""


class RolloutStatus(Message, tag="course"):
    """The state of a rollout; ``text`` is the error of a rejected command."""

    text: str
    record: dict[str, object] = {}
