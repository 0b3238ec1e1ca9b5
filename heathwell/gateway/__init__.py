"""A broker on the platform, one per process: clients and discovery over HTTP, nodes over framed TCP."""
