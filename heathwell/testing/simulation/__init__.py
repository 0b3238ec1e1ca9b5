"""The laboratory: whole fleets in one process, on sockets or on virtual time, load, and what they show."""
