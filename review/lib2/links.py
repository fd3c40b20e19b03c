"""Links between core machines that can fall silent while new ones work."""

import asyncio


class Links:
    """Forwards connections between processes on their ports for peers.

    Each process has ports of its own for peers, and so calls another one at
    its own port on the other's address, where a link takes the call.
    """

    def __init__(self, rig):
        self._rig = rig
        self._silent = set()
        self._open = set()
        self._servers = []

    async def listen(self, address, port, target_port):
        """Forward what comes to an address and a port."""

        async def serve(reader, writer):
            link = object()
            near = writer
            try:
                far_reader, far = await asyncio.open_connection(
                    address, target_port
                )
            except OSError:
                near.transport.abort()
                return
            self._open.add(link)
            try:
                await asyncio.wait(
                    [
                        self._rig.spawn(self._pump(link, reader, far)),
                        self._rig.spawn(self._pump(link, far_reader, near)),
                    ],
                    return_when=asyncio.FIRST_COMPLETED,
                )
            except asyncio.CancelledError:
                return  # the end of the run
            finally:
                self._open.discard(link)
                near.transport.abort()
                far.transport.abort()

        server = await asyncio.start_server(serve, address, port)
        self._servers.append(server)

    async def _pump(self, link, reader, writer):
        try:
            while data := await reader.read(65536):
                if link in self._silent:
                    await asyncio.Event().wait()  # for good
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return

    def silence(self):
        """Let all open channels go silent for good; new ones work."""
        self._silent |= self._open
        self._rig.record("open channels go silent", count=len(self._open))
