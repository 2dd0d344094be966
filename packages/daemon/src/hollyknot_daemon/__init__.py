"""The entry-host process, hollyknotd."""

from hollyknot_daemon._host import Host
from hollyknot_daemon._main import main

__all__ = ["Host", "main"]
