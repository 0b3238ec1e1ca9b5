"""Observability of a process: its event log, digests of what it runs, and the HTTP server of admin pages."""
