"""Checks of newer documents before they are in force."""

from hollyknot_coordination.checks._declarations import check_declarations
from hollyknot_coordination.checks._hosts import check_hosts

__all__ = ["check_declarations", "check_hosts"]
