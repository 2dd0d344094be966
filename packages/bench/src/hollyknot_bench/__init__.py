"""Demo, cost, slopes and scenario commands."""
