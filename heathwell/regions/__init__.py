"""One service across regions: is it the link or a host, which holders a part may go to, and how to
come back.
"""

from heathwell.regions.clients import ClientDrain
from heathwell.regions.links import DOWN, HALF, OPEN, SLOW, LinkState, Regions, Way
from heathwell.regions.reach import answerable

__all__ = ["DOWN", "HALF", "OPEN", "SLOW", "ClientDrain", "LinkState", "Regions", "Way", "answerable"]
