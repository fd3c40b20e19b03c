"""Forwards requests to upstreams and relays the answers.

A request that is not idempotent is retried only if it has certainly not run.
Answers that are not streams are read completely before the first byte is
sent to the client, so that a request whose answer is cut off can be retried
at another upstream; one that is too large for that is relayed as it comes.
Streams are relayed event by event; if the route allows it, a broken stream
resumes at another upstream after the last event relayed.
"""

import random

import trio

from camphorhook_daemon.domain.routing import answer_relay
from camphorhook_daemon.domain.routing import attempts
from camphorhook_daemon.domain.routing import bodies
from camphorhook_daemon.domain.routing import choice as choices
from camphorhook_daemon.domain.routing import costs
from camphorhook_daemon.domain.routing import crash_guard
from camphorhook_daemon.domain.routing import gateway_attempts
from camphorhook_daemon.domain.routing import places
from camphorhook_daemon.domain.routing import selection
from camphorhook_daemon.domain.routing import stream_origins
from camphorhook_daemon.domain.routing import table as tables
from camphorhook_daemon.ports import upstreams as ports

MAX_SENDS = 6  # limits attempts when every upstream rejects a request
ATTEMPT_TIMEOUT_OBJECTIVES = 3.0  # attempt timeout in latency objectives
ATTEMPT_TIMEOUT_SHARE = 0.4  # of the time left; the rest is for a retry
BUSY_RETRY_SECONDS = 0.4  # a full service usually has capacity again after it
ORIGIN_REASON = "it is not known where the stream began"
VERSIONS_REASON = "the versions of upstreams can't be confirmed"
UNCONFIRMED_REASON = "the key's account is not confirmed"
UNCONFIRMED_RETRY_SECONDS = 1.0  # a lost leader is usually replaced within it


class Forwarder:
    """Sends requests to upstreams and relays the answers.

    Attributes:
        changed: set when loads or placements of this instance have changed.
    """

    def __init__(
        self,
        selector,
        origins,
        version_checks,
        evidence,
        pool,
        protocol,
        rules,
        counts,
        elsewhere,
        now,
    ):
        """Create a forwarder.

        Args:
            selector: the selection.Selector of upstreams.
            origins: the stream_origins.StreamOrigins.
            version_checks: the version_checks.VersionChecks.
            evidence: the crash_evidence.CrashEvidence.
            pool: connection pool; `open(target, call)` returns a context
                manager for an answer with `upstream`, `head` and
                `read_chunk`, and `close_idle_to(name)` closes idle ones.
            protocol: reads and writes the platform's headers:
                `make_headers`, `read_head_info`, `pick_response_headers`.
            rules: the configuration in force: `get_table`, `is_current`,
                `make_retry_budget`.
            counts: metrics: `add` and `observe`.
            elsewhere: the gateway_attempts.GatewayAttempts.
            now: function that returns the time in seconds.
        """
        self._selector = selector
        self._elsewhere = elsewhere
        self._links = elsewhere.links
        self._links.on_heal = selector.forgive
        self._origins = origins
        self._version_checks = version_checks
        self._crash_guard = crash_guard.CrashGuard(evidence, now)
        self._loads = selector.loads
        self._outcomes = selector.outcomes
        self._pool = pool
        self._protocol = protocol
        self._rules = rules
        self._relay = answer_relay.AnswerRelay(protocol, now)
        self._counts = counts
        self._now = now
        self._budgets = {}
        self.changed = trio.Event()

    def _get_budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._rules.make_retry_budget()
        return budget

    async def forward(self, request, reply, progress=None):
        """Forward a request and relay the answer to the client.

        Args:
            request: the Request.
            reply: sends the answer to the client: `start`, `send_chunk`,
                `finish`, `send_answer`.
            progress: the attempts.Progress; None for a new request.

        Returns:
            A Failure if nothing was sent to the client, else None.

        Raises:
            answer_relay.StreamBroken: an answer was started and cannot be
                completed; the client's connection must be closed.
        """
        progress = progress or attempts.Progress(request.resume_after)
        services = [one.service for one in request.route.shares]
        service = tables.choose_service(request.route, random.random())
        if progress.handed_over_to in services:
            service = progress.handed_over_to
        elif progress.version is not None:
            return attempts.Failure(503, ORIGIN_REASON)
        budget = self._get_budget(service)
        if not progress.handed_over_to:
            # Otherwise the instance that got it from the client counts it.
            budget.record_request(self._now())
        if (
            request.route.is_stream
            and request.resume_after
            and progress.version is None
        ):
            origin = await self._find_origin(request)
            if origin is None:
                return attempts.Failure(503, ORIGIN_REASON)
            service, progress.version = origin
        while True:
            failure = await self._attempt(
                request, service, budget, progress, reply
            )
            if failure is attempts.AttemptResult.ANSWERED:
                return None
            if isinstance(failure, attempts.Failure):
                break
        if progress.has_started:
            raise answer_relay.StreamBroken(failure.reason)
        if progress.fallback_answer is not None:
            status, headers, body = progress.fallback_answer
            await reply.send_answer(status, headers, body)
            return None
        if progress.runs and failure.status == 503:
            failure = attempts.Failure(502, failure.reason)
        return failure

    async def _find_origin(self, request):
        """Return the Origin of the stream that a client takes up, or None.

        If the client does not name the request that began it, or its origin
        is lost, it can go on only if there is no doubt about the service and
        its version.
        """
        services = [one.service for one in request.route.shares]
        origin = None
        if request.resumes:
            key = stream_origins.make_key(request.account, request.resumes)
            origin = await self._origins.find(key)
        if origin is None and len(services) == 1:
            version = await self._version_checks.find_sole(services[0])
            if version is not None:
                origin = stream_origins.Origin(services[0], version)
        if origin is not None and origin.service in services:
            return origin
        answer_relay.log_step(
            request,
            "a stream can't be taken up: its origin is not known",
            inputs={
                "resumes": request.resumes,
                "after": request.resume_after,
                "service": origin.service if origin else "",
            },
        )
        return None

    async def _record_origin(self, request, target, progress):
        """Bind a stream to the version that begins it, before its events."""
        if progress.version is not None or not request.route.can_resume:
            return
        progress.version = target.version
        await self._origins.record(
            stream_origins.make_key(request.account, request.request),
            stream_origins.Origin(target.service, target.version),
            request.deadline - self._now(),
            self._version_checks.has_several(target.service),
        )

    async def _attempt(self, request, service, budget, progress, reply):
        """Send a request once, if limits and deadline allow it.

        Returns:
            An AttemptResult, or a Failure if the request cannot be served.
        """
        now = self._now()
        if now >= request.deadline:
            return attempts.Failure(504, "no upstream answered in time")
        if not self._is_allowed(request):
            return attempts.Failure(
                503, UNCONFIRMED_REASON, UNCONFIRMED_RETRY_SECONDS
            )
        wait = self._crash_guard.refuse(request)
        if wait:
            return attempts.Failure(503, crash_guard.REASON, wait)
        if progress.sends >= MAX_SENDS:
            return attempts.Failure(
                503, "every upstream rejects", BUSY_RETRY_SECONDS
            )
        if progress.sends and progress.runs >= max(1, request.route.attempts):
            return attempts.Failure(502, "the attempts are used up")
        if self._elsewhere.is_needed(request, progress):
            result = await self._elsewhere.attempt(
                request,
                service,
                progress,
                reply,
                lambda: self._find_refusal(request),
            )
            if result is not None:
                return result
        if progress.sends:
            if not budget.spend(now, self._selector.count_instances()):
                answer_relay.log_step(
                    request,
                    "request not retried: the retry budget is used up",
                    "warning",
                )
                return attempts.Failure(
                    503, "upstreams are busy", BUSY_RETRY_SECONDS
                )
        if not await self._knows_versions(request, progress):
            return attempts.Failure(503, VERSIONS_REASON, BUSY_RETRY_SECONDS)
        choice = await self._choose(request, service, progress)
        if isinstance(choice, selection.Refusal):
            wait = choice.retry_after or BUSY_RETRY_SECONDS
            return attempts.Failure(
                503, choice.reason, 0 if choice.is_final else wait
            )
        target = choice.upstream
        answer_relay.log_step(
            request,
            "sent to an upstream",
            peer=target.name,
            inputs={
                "load": round(choice.load, 1),
                "mean": round(choice.mean, 1),
                "rank": choice.rank,
                "part": choices.find_shared_part(request.parts),
                "held": choice.is_cached,
                "source": choice.source.name if choice.source else "",
                "forecast": choice.describe_forecast(),
                "route": request.route.name,
                "attempt": progress.sends + 1,
                "version": target.version,
                "resumes": request.resumes,
                "after": progress.position.last_event,
                "sequence": target.sequence,
                "left_ms": int((request.deadline - now) * 1000),
            },
        )
        progress.begin_attempt()
        progress.upstream = target
        progress.observation = self._selector.observe(request, choice, now)
        progress.work = attempts.PendingWork(
            self._loads,
            target.name,
            request,
            choice,
            self._find_longest_prompt(service),
        )
        self.changed.set()
        try:
            await self._selector.wait_for_prefill(request, choice, now)
            return await self._exchange(request, choice, progress, reply)
        except ports.SendWithheld as error:
            return self._handle_withheld(request, progress, error)
        except ports.AttemptError as error:
            return self._handle_failure(request, target, progress, error)
        except Exception:
            progress.abandon_attempt()
            raise
        finally:
            self._release_place(service, progress)
            progress.work.release()
            self._loads.end(target.name)
            self.changed.set()

    def _find_longest_prompt(self, service):
        """Return the tokens of the longest prompt of a service's upstreams."""
        spec = self._rules.get_table().services.get(service)
        return 0 if spec is None else spec.longest_prompt

    async def _knows_versions(self, request, progress):
        """Return whether the versions of upstreams are known well enough.

        That matters only to a stream that goes on at one version.
        """
        if progress.version is None:
            return True
        is_taken_up = request.resume_after and not progress.sends
        if not is_taken_up and self._version_checks.is_in_step():
            return True
        return await self._version_checks.refresh()

    def _release_place(self, service, progress):
        """Give back the place of an attempt, once."""
        place, progress.place = progress.place, None
        if place is not None:
            self._selector.places.release(service, place)

    async def _choose(self, request, service, progress):
        """Choose an upstream, and acquire the permit that it may need.

        Returns:
            A choice.Choice, or a selection.Refusal.
        """
        denied = set()
        refusal = None
        while True:
            now = self._now()
            choice = self._selector.choose(
                request,
                service,
                progress.excluded | denied,
                now,
                progress.failed,
                progress.version,
                progress.sends > 0,
            )
            if isinstance(choice, selection.Refusal):
                return refusal or choice
            held = await self._selector.acquire(choice, request, service, now)
            if isinstance(held, selection.Held):
                progress.permit, progress.place = held.permit, held.place
                self._selector.record_placement(request, held.choice, now)
                return held.choice
            if isinstance(held, places.NoPlace):
                refusal = selection.Refusal(
                    f"every place of {service} is taken", held.seconds
                )
                denied.update(one.name for one in choice.alternatives)
            else:
                denied.add(choice.upstream.name)

    def _is_allowed(self, request):
        """Return whether the client's key is confirmed as valid now."""
        if not request.key:
            return True
        if not self._rules.is_current():
            return False
        return self._rules.get_table().find_account(request.key) is not None

    def _find_refusal(self, request):
        """Return why a request may not be sent to any upstream, or ""."""
        if not self._is_allowed(request):
            return UNCONFIRMED_REASON
        if self._crash_guard.is_refused(request):
            return crash_guard.REASON
        return ""

    def _find_obstacle(self, request, upstream, permit):
        """Return why a request may not be sent to an upstream now, or ""."""
        refusal = self._find_refusal(request)
        if refusal:
            return refusal
        if self._links.is_cut_off:
            return gateway_attempts.CUT_OFF_REASON
        return self._selector.find_obstacle(upstream, permit, self._now())

    def _handle_withheld(self, request, progress, error):
        """Try another upstream, unless the client's key is not confirmed."""
        progress.sends -= 1
        answer_relay.log_step(
            request,
            f"request not sent: {error.message}",
            "warning",
            peer=error.peer,
        )
        if not self._is_allowed(request):
            return attempts.Failure(
                503, UNCONFIRMED_REASON, UNCONFIRMED_RETRY_SECONDS
            )
        if not self._links.is_cut_off:
            progress.excluded.add(error.peer)
        return attempts.AttemptResult.RETRY

    def _record_failure(self, request, target, progress, error):
        """Record an attempt that failed, unless the own links are at fault."""
        if error.connection_broken or not error.sent:
            self._links.record_failure(target.name, error.is_first_use)
        if self._links.is_cut_off:
            return
        # Brittle upstreams fall over by themselves.
        is_brittle = self._selector.places.pressure.is_brittle(target.service)
        if error.sent and error.connection_broken and not is_brittle:
            # Told at once, as such a request may be on its way elsewhere.
            self._crash_guard.record_crash(request, target, progress.sent_at)
        observation = progress.observation

        def tell():
            self._outcomes.record(target.name, False)
            # A request may crash a sound upstream.
            if error.sent and not error.connection_broken:
                observation.record_failed()

        self._links.report(
            tell,
            lambda: self._crash_guard.retract_crash(target),
        )
        if error.connection_broken or not error.sent:
            self._selector.health[target.name].record_connection_error(
                self._now(), is_down=not error.sent
            )
        progress.excluded.add(target.name)

    def _handle_failure(self, request, target, progress, error):
        """Record a failed attempt; return RETRY or an attempts.Failure."""
        self._counts.add("attempts_total", outcome=error.step)
        self._record_failure(request, target, progress, error)
        self._pool.close_idle_to(error.peer)
        answer_relay.log_step(
            request,
            f"attempt failed: {error.message}",
            "warning",
            peer=error.peer,
        )
        if not error.sent:
            progress.sends -= 1
            progress.unreached += 1
            if len(progress.excluded) >= MAX_SENDS:
                return attempts.Failure(503, "no upstream can be reached", 0.5)
            return attempts.AttemptResult.RETRY
        progress.runs += 1
        if request.route.is_idempotent and progress.can_retry:
            return attempts.AttemptResult.RETRY
        return attempts.Failure(502, error.message)

    async def _exchange(self, request, choice, progress, reply):
        """Send a request to the chosen upstream and relay its answer."""
        target = choice.upstream
        with self._links.watch(
            target.name,
            lambda: request.route.is_idempotent and progress.can_retry,
        ) as wait:
            return await self._send(request, choice, progress, reply, wait)
        raise ports.AttemptError(
            "the links to upstreams failed",
            step="wait for answer",
            peer=target.name,
            sent=wait.is_sent,
        )

    async def _send(self, request, choice, progress, reply, wait):
        """Send a request, which `wait` observes, and relay its answer."""
        target = choice.upstream
        call = self._make_call(request, choice, progress, wait)
        progress.sent_at = self._now()
        async with self._pool.open(target, call) as answer:
            self._links.record_answer(wait, answer.is_first_use)
            self._crash_guard.record_answer(target, progress.sent_at)
            progress.work.release_prefill()
            self._selector.mark_prefilled(request, target.name)
            self._counts.observe(
                "first_byte_seconds",
                self._now() - request.received_at,
                route=request.route.name,
            )
            head_info = self._protocol.read_head_info(answer.head)
            self.record_load(target, head_info)
            self.record_statements(target, head_info, progress.sent_at)
            if not head_info.has_run:
                await bodies.discard(answer)
                return self._handle_rejection(
                    request, target, head_info, progress
                )
            is_stream = (
                request.route.is_stream and answer.head.is_event_stream()
            )
            if is_stream:
                await self._record_origin(request, target, progress)
                pace = await self._relay.relay_stream(
                    request,
                    answer,
                    progress,
                    reply,
                    progress.observation.record_served,
                )
                progress.observation.record_pace(pace)
            else:
                body = await self._relay.read_body(
                    request, answer, progress, reply
                )
        # Others need not wait until the client has read the answer.
        self._release_place(target.service, progress)
        self._crash_guard.record_end(request, answer.head)
        if answer.head.status < answer_relay.CLIENT_ERROR:
            self._record_cost(request, choice, progress, is_stream)
        if is_stream or body is None:
            self._record_success(target.name)
            return attempts.AttemptResult.ANSWERED
        return await self._answer_whole(request, answer, body, progress, reply)

    def _record_cost(self, request, choice, progress, is_stream):
        """Learn from a complete answer what its request has cost."""
        estimate = choice.estimate
        if estimate is None:
            return
        route = request.route.name
        if is_stream and estimate.output:
            if request.resume_after:
                return
            kind, expected = "output", estimate.output
            actual = progress.output_tokens
            self._selector.costs.record_output(route, request.hint, actual)
        elif estimate.slot_ms and self._has_free_slots(choice.upstream):
            kind, expected = "slot time", estimate.slot_ms
            # The answer has just told the speed.
            now = self._now()
            slowdown = self._selector.speeds.estimate(
                choice.upstream.name, now
            )
            actual = 1000 * (now - progress.sent_at) / slowdown
            self._selector.costs.record_slot_ms(route, actual)
        else:
            return
        self._counts.add(
            "cost_estimates_total",
            route=route,
            kind=kind,
            within=costs.classify_error(expected, actual),
        )

    def _has_free_slots(self, upstream):
        """Return whether no request waits at an upstream, as far as known."""
        return self._loads.sum_load(upstream.name)[0] <= upstream.capacity

    def record_load(self, target, head_info):
        """Record the load and the speed that an upstream reports.

        Args:
            target: wire.Registration of the upstream that was asked.
            head_info: the HeadInfo of the answer.
        """
        if head_info.is_wrong_upstream:
            return
        now = self._now()
        if head_info.load is not None:
            self._selector.health[target.name].record_report(
                *head_info.load, now
            )
        if head_info.slowdown is not None:
            self._selector.speeds.record(target.name, head_info.slowdown, now)

    def record_statements(self, target, head_info, sent_at):
        """Record what an upstream said of itself in an answer.

        It may leave, want a pause, or name or lift a limit.

        Args:
            target: wire.Registration of the upstream that was asked.
            head_info: the HeadInfo of the answer.
            sent_at: time in seconds when the request was sent.
        """
        if head_info.is_wrong_upstream:
            return
        if head_info.limit is not None:
            self._selector.limits.record(target, head_info.limit, sent_at)
        if head_info.is_brittle:
            self._selector.places.pressure.record_brittle(target.service)
            self.changed.set()
        withdrawals = self._selector.withdrawals
        if head_info.pause:
            withdrawals.record_pause(target, head_info.pause)
        if head_info.is_leaving and withdrawals.record_departure(target):
            self._pool.close_idle_to(target.name)
            self.changed.set()

    async def _answer_whole(self, request, answer, body, progress, reply):
        """Relay a complete answer, or keep an error in case retries fail."""
        head = answer.head
        headers = self._protocol.pick_response_headers(head)
        progress.runs += 1
        if head.status >= answer_relay.SERVER_ERROR:
            # An engine is not excluded: it has the prompt cached now, and
            # its failure rate is compared with others on selection.
            progress.failed.add(answer.upstream)
            self._outcomes.record(answer.upstream, False)
            progress.observation.record_failed()
            self._counts.add("attempts_total", outcome="server error")
            answer_relay.log_step(
                request,
                f"the upstream answered {head.status}",
                peer=answer.upstream,
            )
            if request.route.is_idempotent and not progress.has_started:
                progress.fallback_answer = (head.status, headers, body)
                return attempts.AttemptResult.RETRY
        else:
            self._record_success(answer.upstream)
            progress.observation.record_served()
        if progress.has_started:
            return attempts.Failure(
                502, f"the upstream answered {head.status}"
            )
        await reply.send_answer(head.status, headers, body)
        answer_relay.log_step(
            request,
            f"answered {head.status} by the upstream",
            peer=answer.upstream,
            inputs={"ms": int((self._now() - request.received_at) * 1000)},
        )
        return attempts.AttemptResult.ANSWERED

    def _record_success(self, upstream):
        self._outcomes.record(upstream, True)
        self._counts.add("attempts_total", outcome="good")
        self._selector.health[upstream].record_success()

    def _handle_rejection(self, request, target, head_info, progress):
        """Record that an upstream rejected a request without running it.

        It counts as a failure, so that an upstream which rejects much more
        than the others is left to them.
        """
        health = self._selector.health[target.name]
        answer_relay.log_step(
            request,
            "the upstream rejected the request without running it",
            peer=target.name,
            inputs={"other": head_info.is_wrong_upstream},
        )
        self._counts.add("attempts_total", outcome="not run")
        if head_info.is_wrong_upstream:
            health.record_connection_error(self._now(), is_down=True)
        else:
            self._outcomes.record(target.name, False)
            if not (head_info.pause or head_info.is_leaving):
                pressure = self._selector.places.pressure
                pressure.record_full(target.service)
        progress.excluded.add(target.name)
        return attempts.AttemptResult.RETRY

    def _make_call(self, request, choice, progress, wait):
        def find_obstacle():
            obstacle = self._find_obstacle(
                request, choice.upstream, progress.permit
            )
            wait.is_sent = progress.is_sent = not obstacle
            if not obstacle:
                progress.observation.record_sent()
            return obstacle

        now = self._now()
        left = request.deadline - now
        timeout = left
        may_repeat = request.route.is_idempotent
        if may_repeat and progress.runs + 1 < request.route.attempts:
            timeout = max(
                ATTEMPT_TIMEOUT_OBJECTIVES * request.route.objective,
                ATTEMPT_TIMEOUT_SHARE * left,
            )
        headers = self._protocol.make_headers(
            request,
            choice.upstream,
            left,
            progress.position.last_event,
            choice.source,
        )
        return ports.Call(
            request.method,
            request.target,
            headers,
            request.body,
            min(left, timeout),
            request_id=request.request,
            find_obstacle=find_obstacle,
        )
