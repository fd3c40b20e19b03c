"""An operator of the platform's control API, as the platform has it.

It sends an order to one replica and goes on to the next one, with growing
backoff, after a failure, a 5xx or a second without an answer. It closes the
connection that it waited on.
"""

import http.client
import json
import random
import threading
import time

from tests.soak import histories

ANSWER_SECONDS = 1.0
BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.05, 1.0
BACKOFF_FACTOR = 2.0
ORDER_SECONDS = 4.0  # during which an order is sent again
DOCUMENT_SECONDS = 12.0
MOST_ORDERS = 8  # in progress at once
FINAL_STATUSES = (400, 409, 412, 413, 422)  # end a call at once
MOST_REFUSALS = 3  # of any other 4xx
RETRIED_STATUSES = (0, 408, 429)
READ_PAUSE_SECONDS = 0.1
CONFIG_PATH = "/-/config"


def call(address, method, path, body=None, timeout=ANSWER_SECONDS):
    """Return (status, body) of one call; status 0 without an answer.

    The timeout covers the whole call, and the connection is closed.
    """
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body)
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Operator:
    """Sends orders and records them.

    Attributes:
        requests: list of histories.OperatorRequest in the order in which they
            were first sent.
    """

    def __init__(self, seed, list_addresses):
        """Initialize an operator.

        Args:
            seed: seed of the choice of replicas.
            list_addresses: function that returns the (host, port) of each
                replica that the operator knows of.
        """
        self.requests = []
        self._rng = random.Random(f"operator/{seed}")
        self._list_addresses = list_addresses
        self._places = threading.BoundedSemaphore(MOST_ORDERS)
        self._lock = threading.Lock()

    def send(self, kind, subject, method, path, body=None, first=None):
        """Send an order until its answer is clear or its time is over.

        Args:
            kind: kind of the histories.OperatorRequest.
            subject: its subject.
            method: method of the call.
            path: path of the call.
            body: encoded document; None for any other order.
            first: (host, port) of the replica to begin with; drawn if None.

        Returns:
            The histories.OperatorRequest, which was recorded.
        """
        with self._places:
            order = histories.OperatorRequest(
                kind, subject, time.time(), None, 0
            )
            with self._lock:
                number = len(self.requests)
                self.requests.append(order)
            sent = self._send(order, method, path, body, first)
            self.requests[number] = sent
        return sent

    def _send(self, order, method, path, body, first):
        is_document = body is not None
        seconds = DOCUMENT_SECONDS if is_document else ORDER_SECONDS
        until = order.sent_at + seconds
        backoff, refusals, attempts = BACKOFF_SECONDS, 0, []
        turn = self._rng.randrange(6)
        addresses = self._list_addresses()
        if first in addresses:
            turn = addresses.index(first)
        while time.time() < until:
            addresses = self._list_addresses()
            address = addresses[turn % len(addresses)]
            turn += 1
            timeout = ANSWER_SECONDS
            if not is_document:
                timeout = min(timeout, max(0.05, until - time.time()))
            sent_at = time.time()
            status, _ = call(address, method, path, body, timeout)
            attempts.append((sent_at, address[0], status))
            order = order._replace(status=status, attempts=tuple(attempts))
            if 200 <= status < 300:
                return order._replace(acknowledged_at=time.time())
            if 400 <= status < 500 and status not in RETRIED_STATUSES:
                refusals += 1
                if status in FINAL_STATUSES or refusals == MOST_REFUSALS:
                    break
            time.sleep(max(0.0, min(backoff, until - time.time())))
            backoff = min(BACKOFF_FACTOR * backoff, MAX_BACKOFF_SECONDS)
        return order


class Reader:
    """Reads the document back at one replica after the other.

    Attributes:
        readings: list of histories.Reading.
    """

    def __init__(self, list_replicas, find_body):
        """Initialize a reader; nothing is read until `start`.

        Args:
            list_replicas: function that returns (name, address) of each
                replica that runs.
            find_body: function that returns the body that was sent under a
                version, or None.
        """
        self.readings = []
        self._list_replicas = list_replicas
        self._find_body = find_body
        self._stop_requested = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        """Start to read."""
        self._thread.start()

    def stop(self):
        """Stop after the current reading."""
        self._stop_requested.set()
        self._thread.join()

    def _run(self):
        while not self._stop_requested.is_set():
            for name, address in self._list_replicas():
                self._read(name, address)
                if self._stop_requested.wait(READ_PAUSE_SECONDS):
                    return

    def _read(self, name, address):
        sent_at = time.time()
        status, body = call(address, "GET", CONFIG_PATH)
        if status == 200:
            found = json.loads(body)
            sent = self._find_body(found["Version"])
            self.readings.append(
                histories.Reading(
                    name,
                    sent_at,
                    found["Version"],
                    sent is not None and json.loads(sent) == found,
                )
            )
