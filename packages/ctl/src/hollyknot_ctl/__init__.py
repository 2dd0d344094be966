"""The operator's tool, hollyknotctl."""
