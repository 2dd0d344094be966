"""Makes the decisions of a host from events and the time, without I/O.

The decisions cover admission, routing, limits, retries, claims and membership.
"""
