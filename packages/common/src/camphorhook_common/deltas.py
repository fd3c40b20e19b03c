"""Compressed documents, and deltas between two versions of a document.

A document is split after each closing brace. A delta refers to ranges of the
old document's chunks and contains the chunks that are new, so that changing
one route of a document with thousands takes only dozens of bytes.
"""

import base64
import re
import zlib

import msgspec

from camphorhook_common import errors

COMPRESSION = 6  # level 9 takes five times as long to save 7 %
_PIECE = re.compile(rb"[^}]*\}?,?", re.DOTALL)
_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(tuple[int, list[tuple[int, int] | bytes]])


def pack(raw):
    """Return bytes as text: compressed by zlib, encoded in base 85."""
    return base64.b85encode(zlib.compress(raw, COMPRESSION)).decode("ascii")


def unpack(text):
    """Return the bytes that `pack` turned into a text.

    Raises:
        errors.ProtocolError: the text is not valid base 85 or zlib data.
    """
    try:
        return zlib.decompress(base64.b85decode(text))
    except (ValueError, zlib.error) as error:
        raise errors.ProtocolError(str(error), step="unpack") from error


def make(old, new):
    """Return the delta from an old to a new document, as text.

    Args:
        old: the old document as bytes.
        new: the new document as bytes.
    """
    places = {piece: n for n, piece in enumerate(_PIECE.findall(old)) if piece}
    runs = []
    for piece in _PIECE.findall(new):
        place = places.get(piece)
        last = runs[-1] if runs else None
        if place is None:
            if isinstance(last, bytes):
                runs[-1] = last + piece
            elif piece:
                runs.append(piece)
        elif isinstance(last, tuple) and sum(last) == place:
            runs[-1] = (last[0], last[1] + 1)
        else:
            runs.append((place, 1))
    return pack(_encode((zlib.crc32(new), runs)))


def apply(old, delta):
    """Return the new document as bytes.

    Args:
        old: the document that the delta was made from, as bytes.
        delta: a text that `make` returned.

    Raises:
        errors.ProtocolError: the delta cannot be decoded, or was made from
            another document.
    """
    pieces = _PIECE.findall(old)
    try:
        checksum, runs = _decoder.decode(unpack(delta))
    except msgspec.MsgspecError as error:
        raise errors.ProtocolError(str(error), step="apply delta") from error
    new = b"".join(
        run if isinstance(run, bytes) else b"".join(pieces[run[0] : sum(run)])
        for run in runs
    )
    if zlib.crc32(new) != checksum:
        raise errors.ProtocolError(
            "checksum mismatch: the delta was made from another document",
            step="apply delta",
        )
    return new
