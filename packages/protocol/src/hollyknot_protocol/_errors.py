"""Errors that encoding, decoding and framing raise."""


class MalformedMessageError(Exception):
    """Bytes are not a message of the kind that they are decoded as."""


class UnencodableMessageError(Exception):
    """A message cannot be converted to the thrift struct of its kind."""


class FrameError(Exception):
    """A frame is empty or longer than allowed."""


class UnknownValueError(Exception):
    """A field holds an enum value that this version does not define."""
