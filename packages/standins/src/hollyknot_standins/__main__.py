"""Runs `hollyknot-standin` as `python -m hollyknot_standins`."""

from hollyknot_standins import main

main()
