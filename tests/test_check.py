"""The lease explored whole in small worlds, and planted bugs found in them."""

import pytest

from heathwell.fleet.quotas import FractionLeaseVote, FractionLedger, Grant, LeaseVoter, QuotaHolder
from heathwell.modelcheck import explore
from heathwell.modelcheck.leases import LeaseWorld


class FromTheAnswer(QuotaHolder):
    """Counts its lease from when the answer came."""

    def on_grant(self, now: int, grant: Grant) -> bool:
        return super().on_grant(
            now,
            Grant(
                grant.budget,
                grant.fraction,
                grant.grantor,
                grant.number,
                grant.amount,
                now,
                grant.duration_us,
            ),
        )


class NoWait(LeaseVoter):
    """Votes at once after a restart."""

    def __init__(self, name, now, lease):
        super().__init__(name, now, lease)
        self.silent_until_us = now


class TwiceBack(FractionLedger):
    """Counts what is given back on top of what its book shows free."""

    extra = 0

    def on_request(self, now, request, lease_expires_at_us):
        if request.releasing and request.member in self.accounts:
            self.extra += self.accounts[request.member].current_charge(now)
        return super().on_request(now, request, lease_expires_at_us)

    def _available(self, now, member):
        return super()._available(now, member) + self.extra


LENDS = {"claims": False, "owned": True, "restarts": 0, "promise_us": 8}
RESTARTS = {"owned": True, "held": True, "restarts": 2, "flying": 1}
TURNS = {"asks": False, "flying": 2, "restarts": 1, "owned": True, "promise_us": 3}


@pytest.mark.parametrize(
    ("world", "depth"),
    [
        (LENDS, 6),
        (RESTARTS, 5),
        (TURNS, 6),
        *(
            pytest.param(world, depth, marks=pytest.mark.fleet)
            for world, depth in ((LENDS, 9), (RESTARTS, 8), (TURNS, 9))
        ),
    ],
)
def test_all_interleavings_keep_to_the_one_unit(world, depth):
    found = explore(LeaseWorld(**world), depth, 60)
    assert found.whole and not found.breach, str(found)
    assert found.states > 300


def test_a_state_with_votes_for_somebody_and_for_nobody_has_a_key():
    world = LeaseWorld()
    states = [world.initial(), world.initial()]
    votes = [("k0", FractionLeaseVote(0, "run1", 0, holder)) for holder in ("run0", None)]
    states[0].flying = votes
    states[1].flying = votes[::-1]
    assert world.key(states[0]) == world.key(states[1]) != world.key(world.initial())


@pytest.mark.fleet
@pytest.mark.parametrize(
    ("bug", "world", "depth", "word"),
    [
        ({"holder": FromTheAnswer}, LENDS, 9, "may be held"),
        ({"voter": NoWait}, RESTARTS, 9, "may be held"),
        ({"ledger": TwiceBack}, {**LENDS, "flying": 1}, 12, "may be held"),
    ],
)
def test_a_planted_bug_is_found_with_its_story(bug, world, depth, word):
    found = explore(LeaseWorld(**{**world, **bug}), depth, 60)
    assert word in found.breach and len(found.story) >= 5, str(found)
