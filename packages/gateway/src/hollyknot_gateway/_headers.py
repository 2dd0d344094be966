"""Filters hop-by-hop headers and writes message heads."""

from collections.abc import Iterable

from hollyknot_gateway._ports import Headers

CONTENT_LENGTH = b"content-length"

_CONNECTION_ONLY = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        CONTENT_LENGTH,
    }
)


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers to forward, without hop-by-hop headers.

    Content-Length and Transfer-Encoding are left out too: whoever writes the
    message adds its own framing.
    """
    dropped = _CONNECTION_ONLY
    for name, value in headers:
        if name.lower() == b"connection":
            named = {v.strip().lower() for v in value.split(b",")}
            dropped = dropped | named
    return tuple(h for h in headers if h[0].lower() not in dropped)


def write_head(
    first_line: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Returns a message's head.

    Names and values are not checked: they come from a validating parser or
    from this host.
    """
    lines = [first_line]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
