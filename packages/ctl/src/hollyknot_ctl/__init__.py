"""The operator's tool, hollyknotctl."""

from hollyknot_ctl._main import main

__all__ = ["main"]
