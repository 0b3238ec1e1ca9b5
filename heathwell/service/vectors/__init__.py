"""Vector search over one shard: messages of broker and endpoint, payload filters, exact and indexed search.

The package exports no names itself, as brokers need the messages and filter checks without numpy or the
index.
"""
