"""Links with faults between processes, on loopback: which links take a fault, and in which direction."""

from __future__ import annotations

import select
import socket
import threading
from contextlib import contextmanager

import pytest

from heathwell.testing.simulation import loop_thread
from heathwell.testing.simulation.errors import SimulationError
from heathwell.testing.simulation.fault_links import FaultLinkError, FaultLinks, NoLinkError
from heathwell.testing.simulation.loop_thread import LoopThread, LoopThreadError
from heathwell.testing.simulation.process_links import Link

FAULT_US = 60_000_000
SILENCE_SECONDS = 0.5


@pytest.fixture
def links():
    made = FaultLinks(seed=3)
    yield made
    made.close()


@contextmanager
def connected(links, source="client", target="server"):
    """Both ends of a connection through the link: of the process that connects, of the one that listens."""
    address = links.open_link(source, target)
    with socket.create_server(("127.0.0.1", 0)) as server:
        host, port = server.getsockname()
        links.set_target(target, f"{host}:{port}")
        relay_host, _, relay_port = address.rpartition(":")
        with socket.create_connection((relay_host, int(relay_port)), timeout=10) as near:
            server.settimeout(10)
            far, _ = server.accept()
            with far:
                far.settimeout(10)
                yield near, far


def arrives(sender, receiver):
    sender.sendall(b"data")
    return bool(select.select([receiver], [], [], SILENCE_SECONDS)[0])


def test_a_link_is_opened_once_and_carries_both_directions(links):
    assert links.open_link("a", "b") == links.open_link("a", "b") != links.open_link("b", "a")
    with connected(links, "a", "b") as (near, far):
        assert arrives(near, far) and arrives(far, near)


def test_links_between_groups_are_found_whichever_side_connects(links):
    links.open_link("a", "b")
    links.open_link("c", "a")
    links.open_link("c", "b")
    assert links.links_between(["a"], ["b", "c"]) == [Link("a", "b"), Link("c", "a")]
    assert links.links_between(["b", "c"], ["a"]) == [Link("a", "b"), Link("c", "a")]
    assert links.links_between(["a"], ["d"]) == []


@pytest.mark.parametrize(
    ("source", "target", "kind", "cuts_forward"),
    [
        ("client", "server", "cut-out", True),
        ("client", "server", "cut-back", False),
        ("server", "client", "cut-out", False),
        ("server", "client", "cut-back", True),
    ],
)
def test_a_one_way_cut_is_of_what_the_first_group_sends_or_receives(
    links, source, target, kind, cuts_forward
):
    with connected(links) as (near, far):
        assert links.inject_fault([source], [target], kind, FAULT_US) == 1
        assert arrives(near, far) is not cuts_forward
        assert arrives(far, near) is cuts_forward


def test_a_fault_without_a_link_or_of_an_unknown_kind_is_an_error(links):
    links.open_link("a", "b")
    with pytest.raises(NoLinkError, match=r"cut: no link between \['a'\] and \['c'\]"):
        links.inject_fault(["a"], ["c"], "cut", FAULT_US)
    with pytest.raises(FaultLinkError, match="unknown .* 'melt'"):
        links.inject_fault(["a"], ["b"], "melt", FAULT_US)


def test_a_connection_to_a_target_without_an_address_is_reset(links):
    host, _, port = links.open_link("a", "b").rpartition(":")
    with (
        pytest.raises(ConnectionResetError),
        socket.create_connection((host, int(port)), timeout=10) as near,
    ):
        near.recv(1)


def test_a_call_in_the_thread_of_a_loop_returns_raises_or_times_out(monkeypatch):
    thread = LoopThread("calls")
    assert thread.call(threading.current_thread).name == "calls"
    with pytest.raises(ZeroDivisionError):
        thread.call(lambda: 1 // 0)
    monkeypatch.setattr(loop_thread, "CALL_TIMEOUT_SECONDS", 0.05)
    release = threading.Event()
    with pytest.raises(LoopThreadError, match="thread 'calls' executed no call within 0.05 s") as caught:
        thread.call(lambda: release.wait(10))
    release.set()
    assert isinstance(caught.value, SimulationError) and isinstance(caught.value, OSError)
    monkeypatch.undo()
    thread.stop()
