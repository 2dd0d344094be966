"""Faults at every step of a request's life, over several real hosts."""
