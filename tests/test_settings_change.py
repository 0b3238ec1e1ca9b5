"""Which changes of the settings a running broker applies, and its errors for those that need a restart."""

from __future__ import annotations

import pytest

from heathwell.service.settings_change import SettingsChangeError, check_settings_change
from heathwell.settings import loads

SETTINGS = """
(class price-search (aim 1s) (limit 2s) (work 5ms))
(class sale-record (aim 750ms) (limit 1500ms) (work 3ms))
(keys sale (class sale-record) (shape record))
(limits (clients 90) (host-connections 1) (transit 20ms))
(fleet (shards 6) (cells 6) (width 3) (zones a b c) (leaves 6) (brokers 1))
"""


@pytest.mark.parametrize(
    ("old", "new"),
    [("(aim 1s)", "(aim 900ms)"), ("(work 3ms)", "(work 4ms)"), ("(transit 20ms)", "(transit 30ms)")],
)
def test_objectives_costs_and_plain_limits_may_change_while_the_broker_runs(old, new):
    check_settings_change(loads(SETTINGS), loads(SETTINGS.replace(old, new)))


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("(brokers 1)", "(brokers 2)", "fleet: a change needs a restart"),
        (
            "class price-search",
            "class other",
            "class: names, their order and across are fixed; a change needs a restart",
        ),
        ("(clients 90)", "(clients 80)", "limits: clients: a change needs a restart"),
        (
            "(clients 90) (host-connections 1)",
            "(clients 80) (host-connections 2)",
            "limits: clients, host_connections: a change needs a restart",
        ),
    ],
)
def test_a_change_that_needs_a_restart_is_rejected_and_named(old, new, message):
    with pytest.raises(SettingsChangeError) as raised:
        check_settings_change(loads(SETTINGS), loads(SETTINGS.replace(old, new)))
    assert str(raised.value) == message
