"""Documents as they are kept and sent: packed, or as what changed.

A document is cut behind each closing brace; a delta names runs of the older
one's pieces and holds the pieces that are new. So a changed route of a
document with thousands costs some dozen bytes.
"""

import base64
import re
import zlib

import msgspec

from camphorhook_common import errors

COMPRESSION = 6  # 9 takes five times as long for 7 % less
_PIECE = re.compile(rb"[^}]*\}?,?", re.DOTALL)
_encode = msgspec.msgpack.encode
_decoder = msgspec.msgpack.Decoder(tuple[int, list[tuple[int, int] | bytes]])


def pack(raw):
    """Return bytes as compressed text."""
    return base64.b85encode(zlib.compress(raw, COMPRESSION)).decode("ascii")


def unpack(text):
    """Return the bytes of a compressed text.

    Raises:
        errors.ProtocolError: it is no such text.
    """
    try:
        return zlib.decompress(base64.b85decode(text))
    except (ValueError, zlib.error) as error:
        raise errors.ProtocolError(str(error), step="unpack") from error


def make(old, new):
    """Return the delta that leads from old to new bytes, as text."""
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
    """Return the new bytes.

    Args:
        old: the bytes that the delta was made from.
        delta: text of `make`.

    Raises:
        errors.ProtocolError: the delta can't be read, or was made from
            other bytes.
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
            "the delta was made from other bytes", step="apply delta"
        )
    return new
