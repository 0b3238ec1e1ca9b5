"""Budgets of a whole fleet, divided among its brokers by leases: pure, clocks handed in, amounts whole
numbers.

Why no more than the whole is ever held, whatever is lost, restarted or stopped (`docs/fleet.md` at length):

1. A broker's own minimum is set aside within the whole beforehand, for the most brokers there may be.
2. The rest is cut into fixed fractions, as many as keepers. A fraction is lent by its owner alone, and to own
it a
   keeper holds a promise of most keepers. Two majorities share a voter, and a voter promises a fraction to
   one at a
   time.
3. A lease is counted by its holder from before it asked, and shorter by the bound on the drift of clocks; by
its giver
   from after it answered, and longer by it. So it ends at the holder first, be it a promise or a grant.
4. An owner gives no grant that ends, by its own count, after its ownership. So once a fraction may have a new
owner no
   grant of the old one is held any more. A keeper that starts again with nothing remembered is a new
   claimant, and a
   new voter promises nothing for the longest time that a forgotten promise may last.
5. A giver's book charges a member with the largest grant that it may still hold: those given, not run out,
and not
   superseded by a later one that the member says it goes by. A grant is given only within what the book
   leaves.
6. A rate is saved up by the share of the moment and never beyond a window of it, and slower by the bound on
drift.
"""

from heathwell.fleet.quotas.divide import Wish, divide
from heathwell.fleet.quotas.giver import Ask, Giver, Grant
from heathwell.fleet.quotas.holder import Holder
from heathwell.fleet.quotas.lease import Lease
from heathwell.fleet.quotas.owner import Claim, Claimant, Vote, Voter
from heathwell.fleet.quotas.spec import COUNT, RATE, Budget

__all__ = [
    "COUNT",
    "RATE",
    "Ask",
    "Budget",
    "Claim",
    "Claimant",
    "Giver",
    "Grant",
    "Holder",
    "Lease",
    "Vote",
    "Voter",
    "Wish",
    "divide",
]
