"""Thresholds and durations of zone evacuation. Owns no state; imports no other package of heathwell."""

from __future__ import annotations

from dataclasses import dataclass

# The share of its usual traffic that a zone receives in each step of a restore.
RESTORE_SHARES = (0.02, 0.1, 0.3, 0.6, 1.0)


@dataclass(frozen=True, slots=True)
class EvacuationParameters:
    """When the fleet evacuates and restores a zone. Durations are in microseconds, fractions from 0 to 1.

    ``unhealthy_loss``
        loss from which a broker's report counts against a zone
    ``agreement_fraction``
        fraction of the other zones' reports, weighted by attempts, that must count against a zone
    ``confirmation_us``
        how long a suspected zone must stay unhealthy before it is evacuated
    ``drain_us``
        time after which an evacuating zone counts as evacuated
    ``minimum_evacuation_us``, ``maximum_evacuation_us``
        minimum time that a zone stays evacuated, and the limit up to which repeated evacuations double it
    ``flap_window_us``
        an evacuation within this time after the last one doubles the minimum time
    ``restore_step_us``
        minimum duration of one step of a restore
    ``report_max_age_us``
        age from which a broker's report is ignored
    ``usable_capacity_fraction``
        fraction of the other zones' capacity that may be used for an evacuation
    ``minimum_attempts``
        total attempts by other zones' brokers below which a zone is not assessed
    ``required_success_fraction``
        fraction of probes, or of the attempts in a restore step, that must succeed
    """

    unhealthy_loss: float = 0.4
    agreement_fraction: float = 0.6
    confirmation_us: int = 1_500_000
    drain_us: int = 1_500_000
    minimum_evacuation_us: int = 8_000_000
    maximum_evacuation_us: int = 120_000_000
    restore_step_us: int = 3_000_000
    report_max_age_us: int = 3_000_000
    flap_window_us: int = 60_000_000
    usable_capacity_fraction: float = 0.9
    minimum_attempts: int = 10
    required_success_fraction: float = 0.8
