"""The record types of a settings file, one module per subject."""
