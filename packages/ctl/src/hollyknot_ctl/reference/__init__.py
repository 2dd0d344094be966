"""Generates the reference pages of the documents from their types."""

from hollyknot_ctl.reference._pages import (
    DECLARATIONS_EXAMPLE,
    SETTINGS_EXAMPLE,
    render_pages,
)

__all__ = ["DECLARATIONS_EXAMPLE", "SETTINGS_EXAMPLE", "render_pages"]
