"""The I/O of the fleet control, such as the quota coordinator's server and the agent inside a broker.

Decisions are made in `heathwell.fleet.membership`, `quotas`, `evacuation` and `rollout`, which do no I/O.
A process whose settings name no quota coordinators imports nothing of this package.
"""
