"""Compression of JSON values and bytes to texts that fit into values of the key-value store."""

import zlib
from base64 import b64decode, b64encode
from typing import TypeVar

import msgspec

from hookwall.storage.errors import MalformedRecordError

MAX_UNPACKED_BYTES = 4 * 1024 * 1024  # larger than any valid record
COMPRESSION_LEVEL = 6

T = TypeVar("T")


def compress(value: object) -> str:
    """Compress any JSON value to a text without characters that JSON escapes."""
    return compress_bytes(msgspec.json.encode(value))


def decompress(text: str, value_type: type[T]) -> T:
    """Decompress a text of `compress` to a value of the given type; raise MalformedRecordError for any other text."""
    try:
        return msgspec.json.decode(decompress_bytes(text), type=value_type)
    except msgspec.DecodeError as error:
        raise MalformedRecordError(str(error)) from error


def compress_bytes(raw: bytes) -> str:
    """Compress bytes to a text without characters that JSON escapes."""
    return b64encode(zlib.compress(raw, COMPRESSION_LEVEL)).decode()


def decompress_bytes(text: str) -> bytes:
    """Decompress a text of `compress_bytes`; raise MalformedRecordError for any other text."""
    try:
        stream = zlib.decompressobj()
        raw = stream.decompress(b64decode(text, validate=True), MAX_UNPACKED_BYTES)
    except (ValueError, zlib.error) as error:
        raise MalformedRecordError(str(error)) from error
    if not stream.eof:
        raise MalformedRecordError("compressed text is truncated or its content is too large")
    return raw
