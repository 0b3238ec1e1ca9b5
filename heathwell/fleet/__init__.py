"""Coordination of a fleet of brokers; enabled by the ``(fleet ...)`` form of the settings.

``membership``, ``quotas``, ``rollout`` and ``evacuation`` make the decisions without I/O: events in, actions
out; the clock and the seed are arguments. ``control`` does their I/O: processes and connections. ``run`` uses
nothing of this package.
"""
