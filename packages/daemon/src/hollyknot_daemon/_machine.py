"""Finds how much memory and how many descriptors a process may take."""

import os
import pathlib
import resource

from hollyknot_transport import MAX_CONNECTIONS

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


def connections(max_connections: int) -> int:
    """Returns how many connections callers may open.

    The other half of the descriptors is for upstreams, of which each request
    may need one, for peers, the platform and files.

    Args:
        max_connections: Number by the settings; 0 for half of the descriptors.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = 2 * MAX_CONNECTIONS
    return max_connections or descriptors // 2


def _group_bytes(file: pathlib.Path) -> float:
    try:
        return float(file.read_text())
    except (OSError, ValueError):
        return float("inf")
