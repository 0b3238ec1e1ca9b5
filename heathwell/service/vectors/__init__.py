"""Vector search over one shard: what brokers ask of hosts, payload filters, exact and approximate search."""
