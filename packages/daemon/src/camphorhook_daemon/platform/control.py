"""The control API of a replica, for upstreams and operators."""

import time
import uuid

import msgspec
import trio

from camphorhook_common import commands
from camphorhook_common import deltas
from camphorhook_common import errors
from camphorhook_common import logs
from camphorhook_daemon.adapters import document_import
from camphorhook_daemon.domain import state as states
from camphorhook_daemon.platform import documents
from camphorhook_daemon.platform import registrations

CONFIG_TARGET = "/-/config"
INSTANCES_PREFIX = "/-/instances/"
EVACUATIONS_PREFIX = "/-/evacuations/"
SUBMIT_TIMEOUT_SECONDS = 2.5  # a late document is harmless by its version
# Operators go to another replica after a second. An order that a link held
# back may then be older than one that another replica has acknowledged.
MAX_ORDER_AGE_SECONDS = 0.5
ORDER_SECONDS = 0.9
RETRY_AFTER_SECONDS = "0.3"
OUT, IN = "out", "in"


class ControlApp:
    """Serves registrations, the routing document and evacuations over HTTP."""

    def __init__(self, settings, registry, replica, submitter, watch_server):
        """Create the application.

        Args:
            settings: the instance's Settings.
            registry: the Registry that stores registrations.
            replica: the local Replica.
            submitter: the Submitter that sends commands to the leader.
            watch_server: the WatchServer that confirms the local state.
        """
        self._settings = settings
        self._registry = registry
        self._replica = replica
        self._submitter = submitter
        self._watch_server = watch_server
        self._imports = document_import.DocumentImporter(
            documents, self._read_last, self._submit_document
        )

    async def handle(self, exchange):
        """Answer one request."""
        path, _, query = exchange.target.partition("?")
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
            )
            raise
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        headers = [("content-type", "application/json")]
        if not path.startswith(INSTANCES_PREFIX):
            # An operator's connection carries one order, so that the age of
            # the connection bounds that of the order.
            headers.append(("connection", "close"))
        if status == 503:
            headers.append(("retry-after", RETRY_AFTER_SECONDS))
        await exchange.send_answer(status, headers, body)

    async def _answer(self, exchange, path):
        """Return (status, body) for any request but an import."""
        method = exchange.method
        if path.startswith(INSTANCES_PREFIX):
            name = path[len(INSTANCES_PREFIX) :]
            if method == "PUT" and name:
                self._registry.register(
                    registrations.read(name, exchange.body)
                )
                return 200, {}
            if method == "DELETE" and name:
                incarnation = registrations.read_deregistration(exchange.body)
                self._registry.deregister(name, incarnation)
                return 200, {}
            return 405, {}
        if path == CONFIG_TARGET and method == "PUT":
            return await self._put_document(exchange.body)
        if path == CONFIG_TARGET and method == "GET":
            return await self._get_document()
        if path.startswith(EVACUATIONS_PREFIX):
            domain = path[len(EVACUATIONS_PREFIX) :]
            return await self._set_domain(exchange, domain)
        return 404, {}

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
                "no leader confirms the state", step="read document"
            )
        return self._replica.state.documents.get_latest()

    async def _get_document(self):
        last = await self._read_last()
        if last is None:
            raise errors.UnreachableError(
                "there is no document yet", step="read document"
            )
        return 200, last.raw

    async def _set_domain(self, exchange, domain):
        """Take a failure domain out or back, and return (status, body).

        Raises:
            errors.UnreachableError: the order is too old, its caller has
                left, or another order came first.
        """
        if domain not in self._settings.failure_domains:
            return 404, {}
        if exchange.method not in ("POST", "DELETE"):
            return 405, {}
        command = commands.SetCells(
            f"{self._settings.name}:{uuid.uuid4().hex}",
            states.DOMAINS_TABLE,
            domain,
            # Read before anything is awaited: an order that is acknowledged
            # after this one arrived raises the version.
            self._replica.state.get_version(states.DOMAINS_TABLE, domain),
            {"state": OUT if exchange.method == "POST" else IN},
            time.time(),
        )
        _check_caller(exchange, domain)
        outcome = await self._submit_order(exchange, command)
        if outcome.code != "done":
            raise errors.UnreachableError(
                f"another order for failure domain {domain} came first: "
                f"{outcome.detail}, not {command.expected_version}",
                step="set failure domain",
            )
        logs.log(
            "info",
            f"failure domain {domain} is {command.cells['state']}",
            operation=command.operation,
            step="set failure domain",
            inputs={"index": outcome.index, "code": outcome.code},
        )
        return 200, {}

    async def _submit_order(self, exchange, command):
        """Return the Outcome of an order, once it is applied here as well.

        The operator's next order may come to this replica.

        Raises:
            errors.UnreachableError: there is no outcome while the caller
                waits.
        """
        left = ORDER_SECONDS - exchange.measure_age()
        with trio.move_on_after(left):
            outcome = await self._submitter.submit(command, left)
            await self._replica.wait_applied(outcome.index)
            return outcome
        raise errors.UnreachableError(
            f"order for failure domain {command.row} has no outcome after "
            f"{ORDER_SECONDS:g} s",
            step="set failure domain",
        )


def _check_caller(exchange, domain):
    """Check that the caller of an order still waits for its answer.

    Raises:
        errors.UnreachableError: it has probably gone to another replica.
    """
    age = exchange.measure_age()
    if age > MAX_ORDER_AGE_SECONDS:
        raise errors.UnreachableError(
            f"order for failure domain {domain} came {age:.2f} s after its "
            f"connection; {MAX_ORDER_AGE_SECONDS:g} s are allowed",
            step="set failure domain",
        )
    if exchange.has_client_left():
        raise errors.UnreachableError(
            f"the caller of an order for failure domain {domain} has left",
            step="set failure domain",
        )


def _make_whole_import(version, body):
    return commands.ImportDocument(version, deltas.pack(body), time.time())
