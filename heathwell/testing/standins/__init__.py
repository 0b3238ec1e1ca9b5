"""Stand-ins for the outside systems: leaves, discovery, links and the platform, with faults to inject."""
