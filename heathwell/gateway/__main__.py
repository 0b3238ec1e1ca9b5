"""`python -m heathwell.gateway`: one broker on the platform, configured by its environment."""

import signal
import sys

# Signals are recorded from here on and handled after the start, as the imports below take a while.
pending: list[int] = []
for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
    signal.signal(number, lambda given, _frame: pending.append(given))

from heathwell.gateway.process import main  # noqa: E402

sys.exit(main(pending))
