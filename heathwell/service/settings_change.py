"""What a broker derives from a version of its settings, and which settings may change while it runs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from heathwell.service.freshness import FreshnessPolicy, StaleAction
from heathwell.service.key_spaces import KeySpaces
from heathwell.settings import ServiceSettings

# The sections that may change while the broker runs, and the limits that may not.
CHANGEABLE_SECTIONS = frozenset({"classes", "keys", "limits", "rules"})
FIXED_LIMITS = ("clients", "clients_an_address", "host_connections", "busy_connection")
NEEDS_RESTART = "a change needs a restart"


class SettingsChangeError(Exception):
    """Raised if settings can't be applied while the broker runs: changing ``subject`` needs a restart."""

    def __init__(self, subject: str, detail: str) -> None:
        super().__init__(f"{subject}: {detail}")
        self.subject = subject
        self.detail = detail


@dataclass(frozen=True, slots=True)
class ServiceSnapshot:
    """What a service broker derives from a version of its settings, in addition to the module's settings."""

    service_settings: ServiceSettings
    keys: KeySpaces
    freshness_policies: tuple[FreshnessPolicy, ...]

    @classmethod
    def from_settings(cls, service_settings: ServiceSettings) -> ServiceSnapshot:
        """Return the snapshot of the settings."""
        policies = tuple(
            FreshnessPolicy(spec.desired_age_us, spec.max_age, StaleAction(spec.stale))
            for spec in service_settings.classes
        )
        return cls(service_settings, KeySpaces(service_settings), policies)


def check_settings_change(current: ServiceSettings, proposed: ServiceSettings) -> None:
    """Raise :class:`SettingsChangeError` if the proposed settings differ in what needs a restart."""
    _check_sections(msgspec.to_builtins(current), msgspec.to_builtins(proposed))
    if _class_layout(current) != _class_layout(proposed):
        raise SettingsChangeError("class", f"names, their order and across are fixed; {NEEDS_RESTART}")
    changed = [
        name for name in FIXED_LIMITS if getattr(current.limits, name) != getattr(proposed.limits, name)
    ]
    if changed:
        raise SettingsChangeError(f"limits: {', '.join(changed)}", NEEDS_RESTART)


def _check_sections(current: Mapping[str, object], proposed: Mapping[str, object]) -> None:
    names = (current.keys() | proposed.keys()) - CHANGEABLE_SECTIONS
    changed = sorted(name for name in names if current.get(name) != proposed.get(name))
    if changed:
        raise SettingsChangeError(", ".join(changed), NEEDS_RESTART)


@dataclass(frozen=True, slots=True)
class _ClassLayout:
    """The fields of a query class that only change with a restart, as does its position among the classes."""

    name: str
    across: str


def _class_layout(service_settings: ServiceSettings) -> Sequence[_ClassLayout]:
    return [_ClassLayout(spec.name, spec.across) for spec in service_settings.classes]
