"""The HTTP interface through which upstreams announce themselves."""

from camphorhook_common import errors
from camphorhook_common import wire
from camphorhook_daemon.adapters import http
from camphorhook_daemon.domain import membership

ANNOUNCEMENTS_PATH = "/announcements"
HTTP_OVERHEAD_BYTES = 300
ANNOUNCEMENTS_PER_TTL = 3


class AnnouncementsApp:
    """ASGI application that receives announcements of upstreams."""

    def __init__(self, components):
        """Create the application from the instance's components."""
        self._components = components

    async def __call__(self, scope, receive, send):
        """Answer one request, as ASGI servers call it."""
        request = http.read_request(scope)
        if (request.method, request.path) != ("POST", ANNOUNCEMENTS_PATH):
            text = (
                f"not found: announcements are POSTs to {ANNOUNCEMENTS_PATH}"
            )
            failure = wire.RequestFailure(404, "not_found", text, "not-run")
            await http.send_failure(send, failure)
            return
        try:
            body = await http.read_body(
                receive, self._components.settings.limits
            )
        except http.BodyError as error:
            if error.failure is not None:
                await http.send_failure(send, error.failure)
            return
        await self._process(body, send)

    async def _process(self, body, send):
        size = len(body) + HTTP_OVERHEAD_BYTES
        self._components.meter.count_control("announcement", "received", size)
        domain = self._components.settings.failure_domain
        try:
            announcement = membership.parse_announcement(body, domain)
        except errors.ProtocolError as error:
            failure = wire.RequestFailure(
                400, "invalid_announcement", error.message, "not-run"
            )
            await http.send_failure(send, failure)
            return
        self._components.directory.add_announcement(announcement)
        answer = {
            "accepted": True,
            "announce_after_ms": announcement.ttl_ms // ANNOUNCEMENTS_PER_TTL,
        }
        await http.send_json(send, 200, answer)
