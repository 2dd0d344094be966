"""Commands that run, measure and model fleets of hosts."""
