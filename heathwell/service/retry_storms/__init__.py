"""Protection from retry and reconnect storms: detection, admission by cost, and retry times, without I/O."""

from heathwell.service.retry_storms.connection_limiter import ConnectionLimiter, ConnectionVerdict
from heathwell.service.retry_storms.count_min_sketch import CountMinSketch, hash_names
from heathwell.service.retry_storms.expiring_map import ExpiringMap
from heathwell.service.retry_storms.retry_schedule import RetrySchedule
from heathwell.service.retry_storms.storm_controller import StormController
from heathwell.service.retry_storms.storm_detector import StormChange, StormState
from heathwell.service.retry_storms.storm_records import RequestKind, StormLimits, StormVerdict
from heathwell.service.retry_storms.storm_window import TICK_INTERVAL_US

__all__ = [
    "TICK_INTERVAL_US",
    "ConnectionLimiter",
    "ConnectionVerdict",
    "CountMinSketch",
    "ExpiringMap",
    "RequestKind",
    "RetrySchedule",
    "StormChange",
    "StormController",
    "StormLimits",
    "StormState",
    "StormVerdict",
    "hash_names",
]
