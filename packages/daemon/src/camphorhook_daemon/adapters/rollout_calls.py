"""Operators' calls for rollouts."""

import urllib.parse

from camphorhook_common import errors
from camphorhook_common import jsontext
from camphorhook_daemon.domain import rollout_orders


class RolloutCalls:
    """Answers commands for rollouts, and questions for their states."""

    def __init__(self, codec, orders, read_services):
        """Create the object.

        Args:
            codec: reads commands and writes states: `read`, `make_state`.
            orders: the rollout_orders.RolloutOrders.
            read_services: async function that returns the names of the
                configured services, as a leader confirms them.
        """
        self._codec = codec
        self._orders = orders
        self._read_services = read_services

    async def answer(self, exchange, service):
        """Return (status, body).

        Args:
            exchange: the listeners.Exchange.
            service: name in the path; empty for a command.

        Raises:
            errors.CamphorhookError: the command is invalid.
            errors.UnreachableError: no leader confirmed the state in time.
        """
        if not self._orders.is_enabled():
            return 404, {}
        if exchange.method != ("GET" if service else "POST"):
            return 405, {}
        if service:
            rollout = await self._orders.read(urllib.parse.unquote(service))
            if rollout is None:
                return 404, {}
            return 200, self._codec.make_state(rollout.state, rollout.target)
        try:
            command = rollout_orders.Command(*self._codec.read(exchange.body))
        except jsontext.DecodeError as error:
            raise errors.CamphorhookError(
                str(error), step="read rollout"
            ) from error
        command.check()
        if await self._orders.begin(exchange, command, self._read_services):
            return 200, {}
        return 409, {"error": "another rollout of the service is running"}
