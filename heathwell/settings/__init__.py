"""Settings: a file of S-expressions, validated into records; each error has its location in the file."""

from heathwell.settings.check import load, loads
from heathwell.settings.errors import Problem, SettingsError, SourceLocation
from heathwell.settings.page import schema_page
from heathwell.settings.records.service import ServiceSettings

__all__ = ["Problem", "ServiceSettings", "SettingsError", "SourceLocation", "load", "loads", "schema_page"]
