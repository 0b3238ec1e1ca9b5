"""Tuned thresholds and durations of zone evacuation. Owns no state; imports nothing of heathwell."""

from __future__ import annotations

from dataclasses import dataclass

# Shares of a zone's usual traffic that a restore goes through, one step after the other.
RESTORE_SHARES = (0.02, 0.1, 0.3, 0.6, 1.0)


@dataclass(frozen=True, slots=True)
class EvacuationParameters:
    """When the fleet evacuates and restores a zone. Durations are in microseconds, fractions from 0 to 1.

    ``unhealthy_loss``
        loss from which a broker's report counts against a zone
    ``agreement_fraction``
        of the attempts that the other zones' brokers report: how much must come from brokers that see at
        least that loss
    ``confirmation_us``
        how long a suspected zone must stay unhealthy before it is evacuated
    ``drain_us``
        how long an evacuating zone is given until it counts as evacuated
    ``minimum_evacuation_us``, ``maximum_evacuation_us``
        the least time that a zone stays evacuated, and the bound to which repeated evacuations double it
    ``flap_window_us``
        an evacuation that follows the last one within this time doubles the next one's least time
    ``restore_step_us``
        the least duration of one step of a restore
    ``report_max_age_us``
        age from which a broker's report counts no more
    ``usable_capacity_fraction``
        of the other zones' capacity that an evacuation may fill
    ``minimum_attempts``
        attempts, of all other zones' brokers together, below which nothing is concluded about a zone
    ``required_success_fraction``
        of probes, or of the attempts of a restore's step, that must succeed
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
