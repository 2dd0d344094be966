"""Servers, clients, links between hosts, platform watches, traces, metrics."""
