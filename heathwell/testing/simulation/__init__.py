"""Experiments: fleets of stand-ins in one process or in many, their load, and reports."""
