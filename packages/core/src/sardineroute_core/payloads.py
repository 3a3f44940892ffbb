"""Compresses the payloads of tasks on their way to the workers.

Load pattern: a burst at an entry with a small link. Payloads make up most of
the bytes that an entry sends, each once for every task of its job, and starts
that wait behind them reach the workers too late.
"""

import zlib

# Shorter payloads are not worth the time.
_MIN_CHARS = 200
# Favors speed: a payload is compressed while its caller waits.
_LEVEL = 1
# Longer than any payload that an entry accepts.
_MAX_BYTES = 4_194_304


class MalformedPayload(Exception):
    """Raised for bytes that are not a compressed payload."""


def pack(text: str) -> bytes:
    """Returns the compressed payload; empty if that is not worth it."""
    if len(text) < _MIN_CHARS:
        return b""
    raw = text.encode()
    packed = zlib.compress(raw, _LEVEL)
    return packed if len(packed) < len(raw) else b""


def unpack(packed: bytes) -> str:
    """Returns the payload that was compressed.

    Raises:
        MalformedPayload: The bytes are malformed or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(packed, _MAX_BYTES)
        if not decompressor.eof:
            raise MalformedPayload("cut off or too long")
        return raw.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise MalformedPayload(str(error)) from error
