"""The service broker: the driver over the inner protocol, with hosts, discovery and optional components."""
