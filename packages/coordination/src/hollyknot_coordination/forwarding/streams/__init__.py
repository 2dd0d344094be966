"""Keeps each stream at the version of the upstreams that began it."""

from hollyknot_coordination.forwarding.streams._cache_readers import (
    CacheReaders,
)
from hollyknot_coordination.forwarding.streams._cached_versions import (
    CACHED_RETENTION_S,
    CachedVersions,
    Held,
    part_id,
)
from hollyknot_coordination.forwarding.streams._keepers import (
    PARTS_ASKED,
    PARTS_TOLD,
    Keepers,
)
from hollyknot_coordination.forwarding.streams._run_copies import (
    copy_holder,
    has_secret_name,
    possible_holders,
    run_key,
)
from hollyknot_coordination.forwarding.streams._stream_forms import StreamForms
from hollyknot_coordination.forwarding.streams._stream_steps import StreamSteps
from hollyknot_coordination.forwarding.streams._stream_versions import (
    StreamVersions,
    stream_id,
)
from hollyknot_coordination.forwarding.streams._told_streams import ToldStreams
from hollyknot_coordination.forwarding.streams._version_history import (
    VersionHistory,
)

__all__ = [
    "CACHED_RETENTION_S",
    "PARTS_ASKED",
    "PARTS_TOLD",
    "CacheReaders",
    "CachedVersions",
    "Held",
    "Keepers",
    "StreamForms",
    "StreamSteps",
    "StreamVersions",
    "ToldStreams",
    "VersionHistory",
    "copy_holder",
    "has_secret_name",
    "part_id",
    "possible_holders",
    "run_key",
    "stream_id",
]
