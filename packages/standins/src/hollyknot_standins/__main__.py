"""Entry point of `python -m hollyknot_standins`, which runs a stand-in."""

from hollyknot_standins import main

main()
