"""The command-line tool for operators, `hollyknotctl`."""

from hollyknot_ctl._explain_failure import Line, read_lines, request_timeline
from hollyknot_ctl._main import main

__all__ = ["Line", "main", "read_lines", "request_timeline"]
