"""The control API of a replica, for upstreams and operators."""

import time

import msgspec
import trio

from camphorhook_common import commands
from camphorhook_common import deltas
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.adapters import document_import
from camphorhook_daemon.adapters import rollout_calls
from camphorhook_daemon.domain import orders
from camphorhook_daemon.domain import rollout_orders
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import registrations
from camphorhook_daemon.platform import rollout_commands

CONFIG_TARGET = "/-/config"
INSTANCES_PREFIX = "/-/instances/"
EVACUATIONS_PREFIX = "/-/evacuations/"
ROLLOUTS_TARGET = "/-/rollouts"
ROLLOUTS_PREFIX = "/-/rollouts/"
SUBMIT_TIMEOUT_SECONDS = 2.5  # operators wait longer for large documents
RETRY_AFTER_SECONDS = "0.3"
OUT, IN = "out", "in"


class ControlApp:
    """Serves registrations, the routing document and evacuations over HTTP."""

    def __init__(
        self,
        settings,
        registry,
        versions,
        departures,
        replica,
        submitter,
        watch_server,
    ):
        """Create the application.

        Args:
            settings: the instance's Settings.
            registry: the Registry that stores registrations.
            versions: the AnnouncedVersions.
            departures: the Departures that keep those of upstreams that
                leave.
            replica: the local Replica.
            submitter: the Submitter that sends commands to the leader.
            watch_server: the WatchServer that confirms the local state.
        """
        self._settings = settings
        self._registry = registry
        self._versions = versions
        self._departures = departures
        self._replica = replica
        self._submitter = submitter
        self._watch_server = watch_server
        self._orders = orders.Orders(settings.name, replica, submitter)
        self._rollouts = rollout_calls.RolloutCalls(
            rollout_commands,
            rollout_orders.RolloutOrders(
                settings,
                replica,
                self._orders,
                lambda: self._watch_server.wait_until_current(),
            ),
            self._read_services,
        )
        self._imports = document_import.DocumentImporter(
            documents, self._read_last, self._submit_document
        )

    async def handle(self, exchange):
        """Answer one request."""
        path, _, query = exchange.target.partition("?")
        if path in (CONFIG_TARGET, ROLLOUTS_TARGET) or path.startswith(
            EVACUATIONS_PREFIX
        ):
            # The age of a connection then tells the age of an order.
            exchange.close_after_answer()
        try:
            if path == document_import.TARGET:
                status, body = await self._imports.answer(exchange, query)
            else:
                status, body = await self._answer(exchange, path)
        except errors.UnreachableError as error:
            logs.log("warning", error.format(), step=exchange.method + path)
            status, body = 503, {"error": error.message}
        except errors.CamphorhookError as error:
            logs.log(
                "info",
                f"refused: {error.message}",
                step=exchange.method + path,
            )
            status, body = 400, {"error": error.message}
        except trio.Cancelled:
            logs.log(
                "info",
                "the caller left before the answer",
                step=exchange.method + path,
                inputs={"ms": int(exchange.measure_age() * 1000)},
            )
            raise
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        headers = [("content-type", "application/json")]
        if status == 503:
            headers.append(("retry-after", RETRY_AFTER_SECONDS))
        await exchange.send_answer(status, headers, body)

    async def _answer(self, exchange, path):
        """Return (status, body) for any request but an import."""
        method = exchange.method
        if path.startswith(INSTANCES_PREFIX):
            name = path[len(INSTANCES_PREFIX) :]
            return await self._register(method, name, exchange.body)
        if path == CONFIG_TARGET and method == "PUT":
            return await self._put_document(exchange.body)
        if path == CONFIG_TARGET and method == "GET":
            return await self._get_document()
        if path.startswith(EVACUATIONS_PREFIX):
            domain = path[len(EVACUATIONS_PREFIX) :]
            return await self._set_domain(exchange, domain)
        if path == ROLLOUTS_TARGET or path.startswith(ROLLOUTS_PREFIX):
            service = path[len(ROLLOUTS_PREFIX) :]
            return await self._rollouts.answer(exchange, service)
        return 404, {}

    async def _register(self, method, name, body):
        """Register or deregister an upstream.

        The version of one that takes requests is in the log before entry
        instances hear of it. A departure is acknowledged once a majority
        keeps it; entry instances hear of it before that.
        """
        if method == "PUT" and name:
            registration = registrations.read(name, body)
            await self._versions.store(registration)
            self._registry.register(registration)
        elif method == "DELETE" and name:
            incarnation = registrations.read_deregistration(body)
            self._registry.deregister(name, incarnation)
        else:
            return 405, {}
        await self._departures.store(self._registry.get(name))
        return 200, {}

    async def _put_document(self, body):
        await self._submit_document(body)
        return 200, {}

    async def _submit_document(self, body):
        """Commit a document; return (version, Outcome).

        A delta whose base is no longer the newest document is sent whole.
        """
        table = documents.read(body)
        outcome = await self._submitter.submit(
            self._make_import(table.version, body), SUBMIT_TIMEOUT_SECONDS
        )
        if outcome.code == "stale":
            outcome = await self._submitter.submit(
                _make_whole_import(table.version, body), SUBMIT_TIMEOUT_SECONDS
            )
        logs.log(
            "info",
            f"document {outcome.code}",
            step="import document",
            inputs={
                "version": table.version,
                "held": outcome.version,
                "index": outcome.index,
            },
        )
        return table.version, outcome

    def _make_import(self, version, body):
        """Return the ImportDocument of a document, as a delta if possible."""
        last = self._replica.state.documents.get_latest()
        if last is None or last.version >= version:
            return _make_whole_import(version, body)
        delta = deltas.make(last.raw, body)
        return commands.ImportDocument(
            version, delta, time.time(), last.version
        )

    async def _read_last(self):
        """Return the newest Document, or None if there is none.

        Raises:
            errors.UnreachableError: no leader confirmed the state.
        """
        if not await self._watch_server.wait_until_current():
            raise errors.UnreachableError(
                "no leader confirms the state: "
                f"{self._replica.describe_outage()}",
                step="read document",
            )
        return self._replica.state.documents.get_latest()

    async def _get_document(self):
        last = await self._read_last()
        if last is None:
            raise errors.UnreachableError(
                "there is no document yet", step="read document"
            )
        return 200, last.raw

    async def _read_services(self):
        _, raw = await self._get_document()
        return documents.read(raw).services

    async def _set_domain(self, exchange, domain):
        """Take a failure domain out of service, or back."""
        if domain not in self._settings.failure_domains:
            return 404, {}
        if exchange.method not in ("POST", "DELETE"):
            return 405, {}
        state = OUT if exchange.method == "POST" else IN
        await self._orders.set_domain(exchange, domain, state)
        return 200, {}


def _make_whole_import(version, body):
    return commands.ImportDocument(version, deltas.pack(body), time.time())
