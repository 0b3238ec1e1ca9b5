"""Entry point of `python -m heathwell`."""

from heathwell.cli import main

main()
