"""The servers of the client protocols, which translate requests into queries of the broker.

They translate only: retries, timeouts of queries and caches are not theirs.
"""
