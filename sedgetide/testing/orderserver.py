"""Server of a simulated upstream, which carries out orders it has received.

The kernel hands over what arrived before a connection was reset. A plain
server reads and carries it out, however long ago the sender gave it up, while
the server of a host cancels what no caller waits for.
"""

from collections.abc import Callable
import select

import gevent
import h11
import msgspec

from sedgetide.core.configuration.policy import CallerLimits
from sedgetide.wire.messages import Answer
from sedgetide.wire.messages import Request
from sedgetide.wire.server import _PendingRequest
from sedgetide.wire.server import CallerConnection
from sedgetide.wire.server import Server

# Header added to an order whose sender had closed the connection before the
# order was read.
GIVEN_UP = "x-given-up"


class _Connection(CallerConnection):
    """Connection whose orders don't end with it.

    Parameters
    ----------
    server : OrderServer
        Server that accepted the connection.
    connection : socket
        Accepted socket.
    caller : str
        IP address of the caller.
    """

    def run(self) -> None:
        """Serve requests until either side closes the connection."""
        self._socket.settimeout(0.0)
        self._reader = gevent.getcurrent()
        self._writer = gevent.spawn(self._write)
        try:
            self._read()
        except (OSError, h11.ProtocolError, gevent.Timeout):
            pass
        finally:
            self._clean_up()

    def _handle(self, pending: _PendingRequest) -> None:
        if self._server.is_order(pending.request) and self._has_closed():
            headers = [*pending.request.headers, (GIVEN_UP, "1")]
            pending.request = msgspec.structs.replace(
                pending.request, headers=headers
            )
        super()._handle(pending)

    def _has_closed(self) -> bool:
        """Return whether the sender has closed the connection."""
        if self._socket.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def _clean_up(self) -> None:
        for pending in self._pending:
            if self._server.is_order(pending.request):
                pending.task = None
        super()._clean_up()


class OrderServer(Server):
    """Server of a simulated upstream.

    Parameters
    ----------
    serve : callable
        Handles a request and returns its response.
    is_order : callable
        Returns whether a request is an order. Others are cancelled when
        the caller closes the connection.
    """

    def __init__(
        self,
        serve: Callable[[Request], Answer],
        is_order: Callable[[Request], bool],
    ) -> None:
        super().__init__(serve, lambda _: True, CallerLimits)
        self.is_order = is_order

    def _accept(self) -> None:
        while True:
            accepted, peer = self._listener.accept()
            connection = _Connection(self, accepted, peer[0])
            self.connections.add(connection)
            gevent.spawn(connection.run)
