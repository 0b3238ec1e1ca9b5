"""Model checking of the quota leases: no interleaving violates an invariant, and injected bugs are found."""

from dataclasses import replace

import pytest

from heathwell.fleet.quotas import FractionLeaseVote, FractionLedger, Grant, LeaseVoter, QuotaHolder
from heathwell.testing.modelcheck import explore
from heathwell.testing.modelcheck.lease_model import LeaseModel
from heathwell.testing.modelcheck.lease_state import Envelope


class LeaseFromGrantArrival(QuotaHolder):
    """A faulty holder whose lease starts when the grant arrives, not when it was requested."""

    def on_grant(self, now: int, grant: Grant) -> bool:
        """Accept the grant as if it had been requested now."""
        return super().on_grant(now, replace(grant, requested_at_us=now))


class NoSilenceAfterStart(LeaseVoter):
    """A faulty voter that votes immediately after a restart."""

    def __init__(self, name, now, lease):
        super().__init__(name, now, lease)
        self.silent_until_us = now


class DoubleCountedRelease(FractionLedger):
    """A faulty ledger that counts released units as available twice."""

    extra = 0

    def on_request(self, now, request, lease_expires_at_us):
        """Add the charge of a releasing member, which its account releases as well."""
        if request.releasing and request.member in self.accounts:
            self.extra += self.accounts[request.member].current_charge(now)
        return super().on_request(now, request, lease_expires_at_us)

    def _available(self, now, member):
        return super()._available(now, member) + self.extra


# Parameters of the model.
GRANTS_ONLY = {"requests_leases": False, "starts_with_lease": True, "restarts": 0, "lease_duration_ticks": 8}
WITH_RESTARTS = {
    "starts_with_lease": True,
    "starts_with_grant": True,
    "restarts": 2,
    "maximum_in_flight": 1,
}
LEASES_ONLY = {
    "requests_grants": False,
    "maximum_in_flight": 2,
    "restarts": 1,
    "starts_with_lease": True,
    "lease_duration_ticks": 3,
}


@pytest.mark.parametrize(
    ("parameters", "depth"),
    [
        (GRANTS_ONLY, 6),
        (WITH_RESTARTS, 5),
        (LEASES_ONLY, 6),
        *(
            pytest.param(parameters, depth, marks=pytest.mark.fleet)
            for parameters, depth in (
                (GRANTS_ONLY, 9),
                (WITH_RESTARTS, 8),
                (LEASES_ONLY, 9),
            )
        ),
    ],
)
def test_no_interleaving_violates_an_invariant(parameters, depth):
    exploration = explore(LeaseModel(**parameters), depth, 60)
    assert exploration.is_complete and exploration.violation is None, str(exploration)
    assert exploration.state_count > 300


def test_the_key_of_a_state_does_not_depend_on_the_order_of_messages_in_flight():
    model = LeaseModel()
    states = [model.initial_state(), model.initial_state()]
    votes = [Envelope("k0", FractionLeaseVote(0, "run1", 0, holder)) for holder in ("run0", None)]
    states[0].in_flight = votes
    states[1].in_flight = votes[::-1]
    assert model.state_key(states[0]) == model.state_key(states[1]) != model.state_key(model.initial_state())


@pytest.mark.fleet
@pytest.mark.parametrize(
    ("bug", "parameters", "depth", "description"),
    [
        ({"holder_type": LeaseFromGrantArrival}, GRANTS_ONLY, 9, "may be held"),
        ({"voter_type": NoSilenceAfterStart}, WITH_RESTARTS, 9, "may be held"),
        ({"ledger_type": DoubleCountedRelease}, {**GRANTS_ONLY, "maximum_in_flight": 1}, 12, "may be held"),
    ],
)
def test_an_injected_bug_is_found_with_its_trace(bug, parameters, depth, description):
    exploration = explore(LeaseModel(**{**parameters, **bug}), depth, 60)
    violation = exploration.violation
    assert violation is not None, str(exploration)
    assert description in violation.description and len(violation.trace) >= 5, str(exploration)
