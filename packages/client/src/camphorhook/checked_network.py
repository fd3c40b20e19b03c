"""Network backend of httpcore that reports broken answers as errors.

It is the blocking counterpart of camphorhook_daemon.adapters.checked_network.
"""

import time

import httpcore

from camphorhook_common import answer_heads
from camphorhook_common import tcp


class CheckedBackend(httpcore.NetworkBackend):
    """Opens connections whose answers are checked."""

    def __init__(self):
        self._backend = httpcore.SyncBackend()

    def connect_tcp(self, *args, **kwargs):
        """Open a connection, as httpcore.NetworkBackend does."""
        return _CheckedStream(self._backend.connect_tcp(*args, **kwargs))


class _CheckedStream(httpcore.NetworkStream):
    """A connection that fails where an answer on it is broken."""

    def __init__(self, stream):
        self._stream = stream
        self._heads = answer_heads.HeadFinder()
        self._write_error = None

    def write(self, buffer, timeout=None):
        self._heads.expect_answer()
        try:
            self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = str(error)
            raise

    def read(self, max_bytes, timeout=None):
        data = self._stream.read(max_bytes, timeout)
        try:
            self._heads.feed(data)
        except answer_heads.HeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        if not data:
            self._check_end()
        return data

    def _check_end(self):
        """Check the end of the connection, which may be that of a body.

        Raises:
            httpcore.ReadError: an error of writing came before it, or the
                connection is reset before all bytes are acknowledged.
        """
        if self._write_error is not None:
            raise httpcore.ReadError(
                f"the connection ended after an error: {self._write_error}"
            )
        socket = self.get_extra_info("socket")
        deadline = time.monotonic() + tcp.ACKNOWLEDGMENT_SECONDS
        try:
            while not tcp.is_all_acknowledged(socket):
                if time.monotonic() >= deadline:
                    return
                time.sleep(tcp.POLL_SECONDS)
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)

    def close(self):
        self._stream.close()
