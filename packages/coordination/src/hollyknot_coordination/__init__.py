"""Pure decisions: admission, routing, limits, retries, claims, membership."""
