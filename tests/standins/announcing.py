"""Sends announcements of a stand-in upstream to entry instances."""

import httpcore
import msgspec
import trio

INITIAL_INTERVAL_SECONDS = 1.0
TTL_MS = 9000
SAMPLE_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 1.0


class Announcer:
    """Posts announcements whose load is older than the current load.

    Attributes:
        state: state to announce, such as `live` or `leaving`.
    """

    def __init__(self, fields, instances, count_active, lag_seconds):
        """Initialize an announcer; nothing is sent until `run`.

        Args:
            fields: fields that are the same in every announcement.
            instances: `ADDRESS:PORT` of the instances' upstreams ports.
            count_active: function that returns the requests in flight.
            lag_seconds: age of the reported load.
        """
        self._fields = fields
        self._instances = instances
        self._count_active = count_active
        self._lag_seconds = lag_seconds
        self._samples = [(0.0, 0)]
        self._sequence = 0
        self._pool = httpcore.AsyncConnectionPool()
        self._interval_seconds = INITIAL_INTERVAL_SECONDS
        self.state = "live"

    async def _sample(self):
        """Sample the load; the oldest sample kept is as old as the lag."""
        while True:
            now = trio.current_time()
            self._samples.append((now, self._count_active()))
            while self._samples[1:2] and self._samples[1][0] <= (
                now - self._lag_seconds
            ):
                self._samples.pop(0)
            await trio.sleep(SAMPLE_INTERVAL_SECONDS)

    async def run(self):
        """Send announcements periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sample)
            while True:
                await self.announce()
                await trio.sleep(self._interval_seconds)

    async def announce(self):
        """Send one announcement to every instance."""
        self._sequence += 1
        body = msgspec.json.encode(
            {
                **self._fields,
                "sequence": self._sequence,
                "ttl_ms": TTL_MS,
                "state": self.state,
                "active": self._samples[0][1],
            }
        )
        async with trio.open_nursery() as nursery:
            for instance in self._instances:
                nursery.start_soon(self._post, instance, body)

    async def _post(self, instance, body):
        timeout = {
            "connect": CALL_TIMEOUT_SECONDS,
            "read": CALL_TIMEOUT_SECONDS,
        }
        try:
            response = await self._pool.request(
                "POST",
                f"http://{instance}/announcements",
                headers={"content-type": "application/json"},
                content=body,
                extensions={"timeout": timeout},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return
        except httpcore.ProtocolError:
            return
        if response.status == 200:
            answer = msgspec.json.decode(response.content)
            self._interval_seconds = answer["announce_after_ms"] / 1000
