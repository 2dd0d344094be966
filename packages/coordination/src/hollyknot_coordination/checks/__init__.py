"""Validates new versions of shared documents before they take effect."""

from hollyknot_coordination.checks._declarations import check_declarations
from hollyknot_coordination.checks._hosts import check_hosts

__all__ = ["check_declarations", "check_hosts"]
