"""Runs a stand-in: `python -m hollyknot_standins`."""

from hollyknot_standins import main

main()
