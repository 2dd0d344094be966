"""Tests that inject faults at each step of a request into real hosts."""
