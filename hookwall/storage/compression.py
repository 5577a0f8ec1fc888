"""Values and bytes as short texts that a value of the key-value store may have."""

import zlib
from base64 import b64decode, b64encode
from typing import TypeVar

import msgspec

from hookwall.storage.errors import MalformedRecordError

MAX_UNPACKED_BYTES = 4 * 1024 * 1024  # more than any legal record has
COMPRESSION_LEVEL = 6

T = TypeVar("T")


def compress(value: object) -> str:
    """Any JSON value as a short text without characters that JSON escapes."""
    return compress_bytes(msgspec.json.encode(value))


def decompress(text: str, kind: type[T]) -> T:
    """The value that `compress` was given, as the given type; MalformedRecordError for anything else."""
    try:
        return msgspec.json.decode(decompress_bytes(text), type=kind)
    except msgspec.DecodeError as error:
        raise MalformedRecordError(str(error)) from error


def compress_bytes(raw: bytes) -> str:
    """Bytes as a short text without characters that JSON escapes."""
    return b64encode(zlib.compress(raw, COMPRESSION_LEVEL)).decode()


def decompress_bytes(text: str) -> bytes:
    """The bytes that `compress_bytes` was given; MalformedRecordError for anything else."""
    try:
        stream = zlib.decompressobj()
        raw = stream.decompress(b64decode(text, validate=True), MAX_UNPACKED_BYTES)
    except (ValueError, zlib.error) as error:
        raise MalformedRecordError(str(error)) from error
    if not stream.eof:
        raise MalformedRecordError("packed text is cut off or too long")
    return raw
