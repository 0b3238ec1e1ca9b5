"""The fleet's control on sockets: the quota coordinator's server and the agent inside a broker, among others.

Decisions are made in `heathwell.fleet.membership`, `quotas`, `evacuation` and `rollout`, which do no I/O.
Nothing here is imported where the settings name no quota coordinators.
"""
