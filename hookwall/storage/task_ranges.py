"""Encoding of task numbers as a short text, as a job of 100,000 tasks has to fit one value of the key-value store."""

from collections.abc import Iterable


def encode_ranges(numbers: Iterable[int]) -> str:
    """Encode task numbers as ascending ranges: `0-3,7`."""
    ranges: list[str] = []
    start = last = -2
    for number in sorted(numbers):
        if number == last + 1:
            last = number
            continue
        if start >= 0:
            ranges.append(_format_range(start, last))
        start = last = number
    if start >= 0:
        ranges.append(_format_range(start, last))
    return ",".join(ranges)


def _format_range(start: int, last: int) -> str:
    return f"{start}-{last}" if last > start else f"{start}"


def decode_ranges(text: str) -> list[int]:
    """Decode the task numbers from a text of `encode_ranges`."""
    numbers: list[int] = []
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        numbers.extend(range(int(first), int(last or first) + 1))
    return numbers
