"""The fleet's control on sockets: the process that divides budgets (keeper) and the agent inside a broker.
What is decided is decided in `membership` and `budgets`; nothing here is imported where settings name no
keepers.
"""
