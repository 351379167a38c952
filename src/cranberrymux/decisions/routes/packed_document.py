"""Compressed text form of a large routing configuration.

A configuration of 10,000 client accounts would otherwise exceed what one entry
of the replicated log and one message hold. It is one text, so that it is
accepted whole or not at all. Compression and decompression yield between
pieces, since a process must answer heartbeats meanwhile.
"""

import base64
from collections.abc import Generator
from typing import NamedTuple
import zlib

PREFIX = "zlib:"
BYTES_PER_STEP = 1 << 17  # Before compression; about 5 ms of processor time.
# Of one section after decompression. It bounds the memory that a text takes.
MAXIMUM_SECTION_BYTES = 1 << 25
_CHARACTERS_PER_STEP = 1 << 17  # A multiple of 4, so that base64 can be cut.


class PackedDocument(NamedTuple):
    """The sections of a compressed configuration.

    Attributes:
        label: Label of the configuration.
        source: The text that the operator sent, still compressed.
        lines: The encoded tables, still compressed.
    """

    label: int
    source: str
    lines: str


def pack_in_steps(
    label: int, source: str, lines: str
) -> Generator[None, None, str]:
    """Returns the text form `zlib:LABEL:SOURCE:LINES`.

    Args:
        label: Label of the configuration.
        source: The text that the operator sent.
        lines: The encoded tables.
    """
    packed_source = yield from _compress(source.encode())
    packed_lines = yield from _compress(lines.encode())
    return f"{PREFIX}{label}:{packed_source}:{packed_lines}"


def is_packed(text: str) -> bool:
    """True for an output of `pack_in_steps`."""
    return text.startswith(PREFIX)


def split(text: str) -> PackedDocument:
    """Splits a packed text into its sections.

    Raises:
        ValueError: The text has another form.
    """
    label, source, lines = text.removeprefix(PREFIX).split(":")
    return PackedDocument(int(label), source, lines)


def unpack_in_steps(section: str) -> Generator[None, None, str]:
    """Returns a section as it was before its compression.

    Raises:
        ValueError: The section is damaged or longer than allowed.
    """
    decompressor = zlib.decompressobj()
    pieces: list[bytes] = []
    size = 0
    try:
        for start in range(0, len(section), _CHARACTERS_PER_STEP):
            part = section[start : start + _CHARACTERS_PER_STEP]
            data = base64.b64decode(part, validate=True)
            while data:
                piece = decompressor.decompress(data, BYTES_PER_STEP)
                data = decompressor.unconsumed_tail
                size += len(piece)
                if size > MAXIMUM_SECTION_BYTES:
                    raise ValueError("section too long")
                pieces.append(piece)
                yield
        pieces.append(decompressor.flush())
    except zlib.error as error:
        raise ValueError(str(error)) from error
    if not decompressor.eof:
        raise ValueError("section cut off")
    return b"".join(pieces).decode()


def _compress(data: bytes) -> Generator[None, None, str]:
    compressor = zlib.compressobj()
    pieces = []
    for start in range(0, len(data), BYTES_PER_STEP):
        pieces.append(compressor.compress(data[start : start + BYTES_PER_STEP]))
        yield
    pieces.append(compressor.flush())
    return base64.b64encode(b"".join(pieces)).decode()
