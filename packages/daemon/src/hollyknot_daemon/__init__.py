"""Provides hollyknotd, the process that routes requests on each host."""

from hollyknot_daemon._host import Host
from hollyknot_daemon._main import main

__all__ = ["Host", "main"]
