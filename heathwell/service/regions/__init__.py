"""One service across regions: is it the link or a host, which holders a part may go to, and how to
come back.
"""

from heathwell.service.regions.clients import ClientDrain
from heathwell.service.regions.links import DOWN, HALF, OPEN, SLOW, LinkState, Regions, Way
from heathwell.service.regions.reach import answerable

__all__ = ["DOWN", "HALF", "OPEN", "SLOW", "ClientDrain", "LinkState", "Regions", "Way", "answerable"]
