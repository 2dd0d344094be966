"""Thrift messages between hosts and the shapes of HTTP and SSE."""
