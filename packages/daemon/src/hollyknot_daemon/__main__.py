"""Runs `hollyknotd` as `python -m hollyknot_daemon`."""

from hollyknot_daemon import main

main()
