"""What proves the rest: stand-ins, the audit of the rules, simulations and the model checker."""
