"""Finds how much memory a process may take."""

import os
import pathlib

_GROUP_LIMITS = (
    pathlib.Path("/sys/fs/cgroup/memory.max"),
    pathlib.Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)
_MB = 1_000_000


def memory_bytes(memory_mb: int) -> int:
    """Returns the memory that the process may take, in bytes.

    Args:
        memory_mb: Memory by the settings, in megabytes; 0 for the least of
            what the machine and the process's control group have.
    """
    if memory_mb:
        return memory_mb * _MB
    machine = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return int(min(machine, *map(_group_bytes, _GROUP_LIMITS)))


def _group_bytes(file: pathlib.Path) -> float:
    try:
        return float(file.read_text())
    except (OSError, ValueError):
        return float("inf")
