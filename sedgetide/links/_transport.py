"""Messages between processes over pynng's push and pull sockets.

Each process listens on one pull socket and dials a push socket to each
peer. Pair sockets in polyamorous mode would save a connection, but drop
messages silently as soon as two wait for one peer; a push socket says that
it is full.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import time

import gevent
from gevent.socket import wait_read
import msgspec
import pynng

from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import decode_envelope
from sedgetide.coding.messages import encode_envelope
from sedgetide.coding.messages import Envelope
from sedgetide.coding.messages import Message
from sedgetide.core.errors import LinkError
from sedgetide.runtime.tasks import spawn_vital

Handler = Callable[[AnyMessage, str], None]

_BUFFERED_MESSAGES = 4096
_ENVELOPE_BYTES = 256 * 1024
_RECONNECT_MS = 50
_READS_BEFORE_YIELD = 64

_log = logging.getLogger(__name__)


def _split(
    messages: list[Message], body_limit: int
) -> Iterator[list[Message]]:
    """Group messages so that no group's bodies exceed the limit."""
    group: list[Message] = []
    size = 0
    for message in messages:
        body = len(getattr(message, "body", b""))
        if group and size + body > body_limit:
            yield group
            group, size = [], 0
        group.append(message)
        size += body
    if group:
        yield group


class Traffic(msgspec.Struct):
    """What went over a process's links, without TCP's own bytes."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _Outbox:
    """A push socket to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.used_at = time.monotonic()
        self.dialled_at = self.used_at
        self.waiting: list[Message] = []
        self._socket = pynng.Push0(
            send_buffer_size=_BUFFERED_MESSAGES,
            reconnect_time_min=_RECONNECT_MS,
            reconnect_time_max=_RECONNECT_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Send without waiting; return False when the buffer is full."""
        self.used_at = time.monotonic()
        try:
            # A blocking send would stop every greenlet of the process.
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        self._socket.close()


class Transport:
    """All links of one process.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    body_limit : int
        Largest body in a message, in bytes.
    handler : callable
        Called with each message and the sender's address; must not block.
    drop : callable
        Called with each message that was not handed over, since too many
        wait for the peer or its connection was replaced.

    Notes
    -----
    Messages to one peer that arise in the same turn of the event loop leave
    as one: a send costs two switches of threads, whatever its size.
    """

    def __init__(
        self,
        address: str,
        body_limit: int,
        handler: Handler,
        drop: Callable[[Message], None],
    ) -> None:
        self.address = address
        self._handler = handler
        self._drop = drop
        self._body_limit = body_limit
        self._stack = contextlib.ExitStack()
        self._outboxes: dict[str, _Outbox] = {}
        self.traffic = Traffic()
        self._inbox = pynng.Pull0(recv_buffer_size=_BUFFERED_MESSAGES)
        self._stack.callback(self._inbox.close)
        self._inbox.recv_max_size = body_limit + _ENVELOPE_BYTES

    def start(self) -> None:
        """Listen and begin to hand out messages."""
        self._inbox.listen(f"tcp://{self.address}")
        spawn_vital(self._read, self._stack)

    def send(self, address: str, message: Message) -> None:
        """Send a message at the end of this turn of the event loop."""
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._outboxes[address] = _Outbox(address)
        if not outbox.waiting:
            gevent.get_hub().loop.run_callback(self._flush, outbox)
        outbox.waiting.append(message)

    def redial(self, address: str, min_age: float) -> None:
        """Replace a connection that may have gone silent.

        What waits in it is dropped. Connections younger than ``min_age``
        seconds are left alone.
        """
        outbox = self._outboxes.get(address)
        if outbox is None or time.monotonic() - outbox.dialled_at < min_age:
            return
        _log.info("redial", extra={"peer": address})
        self._remove(address)

    def close_unused(self, age: float) -> None:
        """Close connections on which nothing was sent for a while."""
        now = time.monotonic()
        for address, outbox in list(self._outboxes.items()):
            if now - outbox.used_at > age:
                self._remove(address)

    def list_peers(self) -> list[str]:
        """Return the addresses of all open connections."""
        return sorted(self._outboxes)

    def close(self) -> None:
        """Close all connections and stop listening."""
        for address in list(self._outboxes):
            self._flush(self._outboxes[address])
            self._remove(address)
        self._stack.close()

    def _flush(self, outbox: _Outbox) -> None:
        messages, outbox.waiting = outbox.waiting, []
        for group in _split(messages, self._body_limit):
            data = encode_envelope(Envelope(self.address, group))
            self.traffic.sent_messages += len(group)
            self.traffic.sent_bytes += len(data)
            if not outbox.send(data):
                for message in group:
                    self._drop(message)

    def _remove(self, address: str) -> None:
        outbox = self._outboxes.pop(address)
        outbox.close()
        for message in outbox.waiting:
            self._drop(message)
        outbox.waiting = []

    def _read(self) -> None:
        reads = 0
        while True:
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                wait_read(self._inbox.recv_fd)
                continue
            except pynng.Closed:
                return
            self.traffic.received_bytes += len(data)
            self._deliver(data)
            reads += 1
            if reads % _READS_BEFORE_YIELD == 0:
                gevent.sleep(0)

    def _deliver(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except LinkError as error:
            _log.warning("message refused", extra={"error": str(error)})
            return
        for message in envelope.messages:
            try:
                self._handler(message, envelope.sender)
            except Exception:
                _log.exception("message failed")
