"""The platform's protocols: clients and discovery over HTTP, nodes by frames, one broker per process."""
