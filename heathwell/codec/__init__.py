"""Protocols without I/O: bytes to messages and back, incremental, with a limit on every length."""
