"""The records of a settings file, by subject."""
