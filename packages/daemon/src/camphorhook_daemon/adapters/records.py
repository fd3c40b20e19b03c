"""Records in files, each with its length and a checksum.

A record is the length and the CRC-32 of its body, as two little-endian
32-bit numbers, and the body.
"""

import os
import struct
import zlib

HEADER = struct.Struct("<II")


def encode(body):
    """Return the record of a body in bytes."""
    return HEADER.pack(len(body), zlib.crc32(body)) + body


def read(data, offset):
    """Return the body of the record at an offset.

    Returns:
        None if the record is truncated, empty or fails its checksum.
    """
    if offset + HEADER.size > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    start = offset + HEADER.size
    body = data[start : start + length]
    if length == 0 or len(body) < length or zlib.crc32(body) != checksum:
        return None
    return body


def sync_folder(folder):
    """Make the names of a folder's files durable.

    Raises:
        OSError: they may not be.
    """
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
