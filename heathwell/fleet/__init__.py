"""What the brokers of one fleet decide together; off unless settings say ``(fleet ...)``.

``membership``, ``quotas``, ``rollout`` and ``evacuation`` are pure deciders: events in, actions out, clock
and seed handed in. ``control`` is their I/O: processes and connections. Nothing here is part of ``run``.
"""
