"""The platform's way in and out: HTTP clients, nodes by frames, discovery by HTTP, one process by `run`."""
