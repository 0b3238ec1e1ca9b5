"""The state file of a node agent: its layout, which agents of other versions read, and loading and saving."""

from heathwell.fleet.control.state_file import (
    AgentState,
    BrokerState,
    ProcessState,
    VersionFiles,
    load_agent_state,
    save_agent_state,
)

STORED = (
    '{"versions": {"v1": ["/program", "/v1.sx", ["p1", "s1"]]}, "brokers": {"b0": {"address": "127.0.0.1:9", '
    '"wanted": "v1~", "kept": "v0", "term": 3, "number": 4, "runs": 6, "serving": 5, '
    '"processes": {"5": [70, "v1", 900, "/b0-5.ready"], "6": [71, "v1~", 901, "/b0-6.ready"]}}}}'
)
STATE = AgentState(
    {"v1": VersionFiles("/program", "/v1.sx", ("p1", "s1"))},
    {
        "b0": BrokerState(
            address="127.0.0.1:9",
            desired_version="v1~",
            previous_version="v0",
            term=3,
            number=4,
            last_run=6,
            serving_run=5,
            processes={
                5: ProcessState(70, "v1", 900, "/b0-5.ready"),
                6: ProcessState(71, "v1~", 901, "/b0-6.ready"),
            },
        )
    },
)


def test_a_state_is_stored_in_the_layout_that_other_versions_read(tmp_path):
    save_agent_state(tmp_path, STATE)
    assert (tmp_path / "agent.json").read_text() == STORED
    assert [path.name for path in tmp_path.iterdir()] == ["agent.json"]


def test_a_stored_state_is_loaded(tmp_path):
    (tmp_path / "agent.json").write_text(STORED)
    assert load_agent_state(tmp_path) == STATE


def test_without_a_file_no_state_is_loaded(tmp_path):
    assert load_agent_state(tmp_path) is None
