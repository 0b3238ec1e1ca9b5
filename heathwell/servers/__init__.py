"""Client protocols: a request to queries of the broker, replies back. No retry, time-out or cache here."""
