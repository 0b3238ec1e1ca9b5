"""The protocol by which the components of a service broker use their broker."""

from __future__ import annotations

from typing import Protocol

from heathwell import policy
from heathwell.broker.driver_contract import DriverContext
from heathwell.broker.query_state import SettingsVersion
from heathwell.service.service_records import ServiceQuery
from heathwell.service.settings_change import ServiceSnapshot
from heathwell.settings import ServiceSettings


class ServiceContext(DriverContext, Protocol):
    """A broker with versions of its settings.

    Components that need more define their own protocol, which extends this one, in their own module.
    """

    @property
    def settings(self) -> policy.Settings:
        """The decision module's settings for queries that are admitted now."""

    @property
    def service_settings(self) -> ServiceSettings:
        """The settings for queries that are admitted now."""

    @property
    def current_version(self) -> SettingsVersion[ServiceSnapshot]:
        """The version of the settings for queries that are admitted now."""

    def query_class_of(self, query: ServiceQuery) -> policy.QueryClass:
        """Return a query's class, by the settings that it is decided under."""

    def snapshot_of(self, query: ServiceQuery) -> ServiceSnapshot:
        """Return what is derived from the settings that a query is decided under."""
