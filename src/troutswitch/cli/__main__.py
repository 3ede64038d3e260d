"""Entry point of `python -m troutswitch.cli`."""

from troutswitch.cli.main import main

main()
