"""Resumes streamed answers whose client was disconnected."""

from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_common import wire
from camphorhook_daemon.domain import answer_memory
from camphorhook_daemon.domain import answers
from camphorhook_daemon.domain import streams
from camphorhook_daemon.ports import upstreams as ports

OWNER_POLL_MS = 1000
RESUME_IDLE_TIMEOUT_SECONDS = 10.0


class Resumer:
    """Resumes a stream from its owner or, failing that, from the engine."""

    def __init__(self, directory, upstreams, transport):
        self._directory = directory
        self._upstreams = upstreams
        self._transport = transport

    async def fill(self, stream, point, key_hash):
        """Append the events that follow a point to a stream and finish it.

        Args:
            stream: the ResponseStream; it is finished on return.
            point: the streams.ResumePoint to resume after; None if unknown.
            key_hash: key hash of the client account that resumes it.
        """
        try:
            if await self._copy_from_owner(stream):
                return
        except answer_memory.Exhausted as error:
            stream.finish(_make_stream_lost_failure(str(error)))
            return
        except errors.UnreachableError as error:
            logs.log(
                "info",
                f"stream owner is unreachable: {error.message}",
                operation=stream.response_id,
                step="resume",
                peer=error.peer,
            )
        stream.finish(await self._copy_from_engine(stream, point, key_hash))

    async def _copy_from_owner(self, stream):
        """Copy the owner's events to the end; return False if it has none."""
        owner = streams.find_owner(stream.response_id)
        while True:
            message = wire.ReadStream(
                stream.response_id,
                stream.account,
                stream.last_number,
                OWNER_POLL_MS,
            )
            reply = await self._transport.call(
                owner, message, OWNER_POLL_MS / 1000 + 1.0
            )
            if not reply.found:
                return False
            for event in reply.events:
                stream.append(event)
            if reply.finished and not reply.events:
                stream.finish(reply.failure)
                return True

    async def _copy_from_engine(self, stream, point, key_hash):
        """Copy the engine's events; return a RequestFailure if incomplete."""
        record = point and self._directory.get(point.upstream)
        if point and not streams.is_own_engine_stream(point.stream, key_hash):
            return _make_stream_lost_failure(
                "the stream belongs to another client account"
            )
        if record is None:
            return _make_stream_lost_failure(
                "neither its owner nor its engine is available"
            )
        progress = answers.Progress()
        progress.has_role = progress.has_finish = True
        reader = answers.EngineStreamReader(
            stream,
            progress,
            record.name,
            point.stream,
            wants_usage=True,
            sequence=point.sequence,
        )
        path = f"/v1/streams/{point.stream}?after={point.sequence}"
        call = ports.Call("GET", path, [], b"", RESUME_IDLE_TIMEOUT_SECONDS)
        try:
            async with self._upstreams.stream(record, call) as opened:
                status, _, events = opened
                if status != 200:
                    return _make_stream_lost_failure(
                        f"engine {record.name} answered HTTP {status}"
                    )
                async for event in events:
                    reader.process(event)
                    if reader.is_done:
                        return None
        except errors.CamphorhookError as error:
            return _make_stream_lost_failure(error.format())
        return _make_stream_lost_failure(
            "the engine closed the stream before its end marker"
        )


def _make_stream_lost_failure(reason):
    message = f"the answer can't be resumed: {reason}; send the request again"
    return wire.RequestFailure(410, "stream_lost", message, "run")
