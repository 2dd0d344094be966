"""The entry-host process, hollyknotd."""
