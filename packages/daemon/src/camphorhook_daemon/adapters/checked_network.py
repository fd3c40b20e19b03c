"""Network backend of httpcore that reports broken answers as errors.

httpcore ignores errors of writing a request and goes on to read the answer,
whose end such an error may be. h11 takes heads that are not valid.
"""

import httpcore
import trio

from camphorhook_common import answer_heads
from camphorhook_common import tcp


class CheckedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on trio whose answers are checked."""

    def __init__(self):
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(self, *args, **kwargs):
        """Open a connection, as httpcore.AsyncNetworkBackend does."""
        return _CheckedStream(await self._backend.connect_tcp(*args, **kwargs))


class _CheckedStream(httpcore.AsyncNetworkStream):
    """A connection that fails where an answer on it is broken."""

    def __init__(self, stream):
        self._stream = stream
        self._heads = answer_heads.HeadFinder()
        self._write_error = None

    async def write(self, buffer, timeout=None):
        self._heads.expect_answer()
        try:
            await self._stream.write(buffer, timeout)
        except httpcore.WriteError as error:
            self._write_error = str(error)
            raise

    async def read(self, max_bytes, timeout=None):
        data = await self._stream.read(max_bytes, timeout)
        try:
            self._heads.feed(data)
        except answer_heads.HeadError as error:
            raise httpcore.RemoteProtocolError(str(error)) from error
        if not data:
            await self._check_end()
        return data

    async def _check_end(self):
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
        with trio.move_on_after(tcp.ACKNOWLEDGMENT_SECONDS):
            try:
                while not tcp.is_all_acknowledged(socket):
                    await trio.sleep(tcp.POLL_SECONDS)
            except OSError as error:
                raise httpcore.ReadError(str(error)) from error

    async def start_tls(self, *args, **kwargs):
        return _CheckedStream(await self._stream.start_tls(*args, **kwargs))

    def get_extra_info(self, info):
        return self._stream.get_extra_info(info)

    async def aclose(self):
        await self._stream.aclose()
