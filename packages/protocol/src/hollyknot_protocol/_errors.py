"""The errors of the protocol layer."""


class MalformedMessageError(Exception):
    """Bytes that are no message of the kind they claim to be."""


class UnencodableMessageError(Exception):
    """A message that its thrift struct cannot carry."""


class FrameError(Exception):
    """A frame whose length is not allowed."""


class UnknownValueError(Exception):
    """An enum value that this version does not know."""
