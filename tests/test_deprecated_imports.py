"""Import paths of the public library that were renamed can be used for one more version, with a warning."""

from __future__ import annotations

import importlib
import sys

import pytest

from heathwell import client
from heathwell.cli import logs
from heathwell.settings.schema import Log, ModuleLevel


def test_the_former_module_of_the_retrying_client_warns_and_gives_the_same_names():
    sys.modules.pop("heathwell.heed", None)
    with pytest.warns(DeprecationWarning, match="heathwell.client"):
        former = importlib.import_module("heathwell.heed")
    assert former.Heedful is client.RetryingClient
    assert {name: getattr(former, name) for name in former.__all__ if name != "Heedful"} == {
        name: getattr(client, name) for name in former.__all__ if name != "Heedful"
    }


def test_settings_that_name_the_former_package_of_the_event_loop_still_set_its_level(capsys):
    make_log = logs.configure_logging(Log(modules=[ModuleLevel("heathwell.kernel", "error")]))
    log = make_log("heathwell.eventloop")
    log("warning", "below the level")
    log("error", "at the level")
    written = capsys.readouterr().err
    assert "at the level" in written
    assert "below the level" not in written
