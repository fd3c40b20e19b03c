"""Refuses requests that crash upstreams, and records what upstreams did."""

from camphorhook_daemon.domain import crash_evidence
from camphorhook_daemon.domain import request_traits
from camphorhook_daemon.domain.routing import answer_relay

REASON = "upstreams crashed while running such requests"
REDIRECTION = 300  # lowest status that is no success


class CrashGuard:
    """Relates forwarded requests to the evidence on crashes.

    Its methods take the attempts.Request and the wire.Registration of an
    upstream.
    """

    def __init__(self, evidence, now):
        """Create a guard.

        Args:
            evidence: the crash_evidence.CrashEvidence.
            now: function that returns the time in seconds.
        """
        self._evidence = evidence
        self._now = now

    def is_refused(self, request):
        """Return whether a request is refused at present."""
        return self._find_blame(request) is not None

    def refuse(self, request):
        """Return the seconds for which a request is refused; 0 if it is not.

        Blame lasts longer after each refusal.
        """
        blame = self._find_blame(request)
        if blame is None:
            return 0.0
        self._evidence.record_refusal(hash_traits(request))
        return blame.seconds

    def _find_blame(self, request):
        if not self._evidence.has_verdicts():
            return None
        return self._evidence.find_blame(hash_traits(request))

    def record_crash(self, request, upstream, sent_at):
        """Record that a connection broke while a request ran.

        Args:
            request: the request.
            upstream: the upstream that ran it.
            sent_at: time in seconds.
        """
        seconds = self._now() - sent_at
        traits = hash_traits(request)
        if self._evidence.record_crash(upstream, traits, seconds):
            answer_relay.log_step(
                request,
                "the upstream may have crashed while it ran the request",
                "warning",
                peer=upstream.name,
                inputs={
                    "incarnation": upstream.incarnation,
                    "ms": int(seconds * 1000),
                    "parts": [part for part, _ in request.parts],
                },
            )

    def retract_crash(self, upstream):
        """Record that an upstream did not crash, but the link to it failed."""
        self._evidence.retract_crash(
            crash_evidence.format_incarnation(upstream)
        )

    def record_answer(self, upstream, sent_at):
        """Record that an upstream answered what was sent at a time."""
        self._evidence.record_answer(upstream, sent_at)

    def record_end(self, request, head):
        """Record that an answer ended as it should.

        An answer that ends with its connection is no proof that the upstream
        runs on: a crash may look like its end.
        """
        is_success = head.status < REDIRECTION
        if is_success and head.describe_framing() != "close":
            self._evidence.record_success(hash_traits(request))


def hash_traits(request):
    """Return what a request may share with others that crash upstreams."""
    digest = request_traits.hash_request(
        request.account, request.method, request.target, request.body
    )
    # The last part belongs to this request or its session alone.
    parts = [part for part, _ in request.parts[:-1]]
    return (digest, *request_traits.hash_parts(parts))
