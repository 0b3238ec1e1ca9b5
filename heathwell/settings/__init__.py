"""Settings: one S-expression file, checked into records, every error with its place."""

from heathwell.settings.check import Problem, SettingsError, Where, load, loads
from heathwell.settings.page import schema_page
from heathwell.settings.schema import ServiceSettings

__all__ = ["ServiceSettings", "Problem", "SettingsError", "Where", "load", "loads", "schema_page"]
