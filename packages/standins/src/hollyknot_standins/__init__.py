"""Simulated upstreams and platform services, for tests and trials."""

from hollyknot_standins._engine import (
    EngineControl,
    EngineOptions,
    start_engine,
)
from hollyknot_standins._main import main
from hollyknot_standins._openai import expected_text
from hollyknot_standins._platform import (
    ConfigurationControl,
    ConfigurationOptions,
    HostListControl,
    HostListOptions,
    start_configuration,
    start_host_list,
)
from hollyknot_standins._server import BoundAddress, ServerOptions, Standin
from hollyknot_standins._service import (
    ServiceCall,
    ServiceControl,
    ServiceOptions,
    start_service,
)

__all__ = [
    "BoundAddress",
    "ConfigurationControl",
    "ConfigurationOptions",
    "EngineControl",
    "EngineOptions",
    "HostListControl",
    "HostListOptions",
    "ServerOptions",
    "ServiceCall",
    "ServiceControl",
    "ServiceOptions",
    "Standin",
    "expected_text",
    "main",
    "start_configuration",
    "start_engine",
    "start_host_list",
    "start_service",
]
