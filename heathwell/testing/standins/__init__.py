"""Stand-ins for external systems (leaves, discovery, links, the platform), with fault injection."""
