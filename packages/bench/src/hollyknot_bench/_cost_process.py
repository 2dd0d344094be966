"""Reads the CPU time and memory of processes from /proc."""

import os
import pathlib
from collections.abc import Mapping

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_RESIDENT_PAGES = 1


def cpu_s(pid: int) -> float:
    """Returns the CPU seconds that a process has used, user and system.

    Raises:
        OSError: There is no such process.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    # The command name is in brackets and may itself contain spaces and
    # brackets, so fields are counted from the last closing bracket.
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])
    return ticks / _TICKS_PER_S


def cpu_s_by_name(pids: Mapping[str, int]) -> dict[str, float]:
    """Returns the CPU seconds that each process has used, by its name."""
    return {name: cpu_s(pid) for name, pid in pids.items()}


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process, in bytes.

    Raises:
        OSError: There is no such process.
    """
    text = pathlib.Path(f"/proc/{pid}/statm").read_text("utf-8")
    return int(text.split()[_RESIDENT_PAGES]) * _PAGE_BYTES
