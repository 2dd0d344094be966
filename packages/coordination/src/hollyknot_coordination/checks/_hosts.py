"""Checks a host list."""

from hollyknot_coordination.checks._problems import invalid
from hollyknot_coordination.spread import Candidate, Invalid
from hollyknot_state import HostList, Problems, parse_host_list


def check_hosts(candidate: Candidate) -> HostList | Invalid:
    """Returns the host list, or why it is refused."""
    parsed = parse_host_list(candidate.body)
    return invalid(parsed) if isinstance(parsed, Problems) else parsed
