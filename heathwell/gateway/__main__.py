"""`python -m heathwell.gateway`: one broker on the platform, by its environment."""

import signal
import sys

# Signals are noted from the first instant: what follows takes a while to import.
pending: list[int] = []
for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
    signal.signal(number, lambda given, _frame: pending.append(given))

from heathwell.gateway.process import main  # noqa: E402

sys.exit(main(pending))
