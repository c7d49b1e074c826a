"""Message transport over pynng push and pull sockets.

Each process listens on one pull socket and dials a push socket to each
peer. Pair sockets in polyamorous mode would need one connection less, but
silently drop messages as soon as two are queued for a peer; a push socket
reports that its buffer is full.
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
from sedgetide.coding.messages import MAX_SENT_TOGETHER
from sedgetide.coding.messages import Message
from sedgetide.core.errors import LinkError
from sedgetide.runtime.clock import read_clock
from sedgetide.runtime.tasks import spawn_vital

Handler = Callable[[AnyMessage, str], None]

_BUFFERED_MESSAGES = 4096
_ENVELOPE_BYTES = 256 * 1024
_RECONNECT_MS = 50
# Seconds of work on received messages after which others run. A pause of
# zero would not do: the event loop repeats such callbacks before it polls.
_SLICE = 0.003
_PAUSE = 0.0005

_log = logging.getLogger(__name__)


def _batch(
    messages: list[Message], body_limit: int
) -> Iterator[list[Message]]:
    """Group messages to be sent together.

    The bodies of no group exceed the limit, nor do their number, and separate
    messages are alone.
    """
    group: list[Message] = []
    size = 0
    for message in messages:
        body = len(getattr(message, "body", b""))
        alone = message.separate or (group and group[-1].separate)
        full = len(group) == MAX_SENT_TOGETHER or size + body > body_limit
        if group and (alone or full):
            yield group
            group, size = [], 0
        group.append(message)
        size += body
    if group:
        yield group


class Traffic(msgspec.Struct):
    """Counters of a process's link traffic, without TCP overhead."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class _Outbox:
    """A push socket to one peer, with the messages to be sent."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.used_at = read_clock()
        self.dialled_at = self.used_at
        self.queued: list[Message] = []
        self._socket = pynng.Push0(
            send_buffer_size=_BUFFERED_MESSAGES,
            reconnect_time_min=_RECONNECT_MS,
            reconnect_time_max=_RECONNECT_MS,
        )
        self._socket.dial(f"tcp://{address}", block=False)

    def send(self, data: bytes) -> bool:
        """Send without blocking; return False if the buffer is full."""
        self.used_at = read_clock()
        try:
            # A blocking send would block all greenlets of the process.
            self._socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    def close(self) -> None:
        self._socket.close()


class Transport:
    """Links of one process to its peers.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    body_limit : int
        Maximum size of a body in a message, in bytes.
    handler : callable
        Called with each message and the sender's address; must not block.
    on_drop : callable
        Called with each message that was not sent, because the send buffer
        for the peer was full or the connection was replaced.

    Notes
    -----
    Messages to a peer are batched per iteration of the event loop, because
    each send costs two thread switches, independent of its size.
    """

    def __init__(
        self,
        address: str,
        body_limit: int,
        handler: Handler,
        on_drop: Callable[[Message], None],
    ) -> None:
        self.address = address
        self._handler = handler
        self._on_drop = on_drop
        self._body_limit = body_limit
        self._stack = contextlib.ExitStack()
        self._outboxes: dict[str, _Outbox] = {}
        self.traffic = Traffic()
        # Processor time of the thread when the reader last resumed.
        self._resumed_at = 0.0
        self._inbox = pynng.Pull0(recv_buffer_size=_BUFFERED_MESSAGES)
        self._stack.callback(self._inbox.close)
        self._inbox.recv_max_size = body_limit + _ENVELOPE_BYTES

    def start(self) -> None:
        """Listen and start delivering messages to the handler."""
        self._inbox.listen(f"tcp://{self.address}")
        spawn_vital(self._read, self._stack)

    def send(self, address: str, message: Message) -> None:
        """Send a message at the end of this iteration of the event loop."""
        outbox = self._outboxes.get(address)
        if outbox is None:
            outbox = self._outboxes[address] = _Outbox(address)
        if not outbox.queued:
            gevent.get_hub().loop.run_callback(self._flush, outbox)
        outbox.queued.append(message)

    def redial(self, address: str, min_age: float) -> None:
        """Replace a connection that may be lost.

        Messages that are not yet sent are dropped. Connections younger than
        ``min_age`` seconds are kept.
        """
        outbox = self._outboxes.get(address)
        if outbox is None or read_clock() - outbox.dialled_at < min_age:
            return
        _log.info("redial", extra={"peer": address})
        self._remove(address)

    def close_unused(self, age: float) -> None:
        """Close connections that were not used for ``age`` seconds."""
        now = read_clock()
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
        messages, outbox.queued = outbox.queued, []
        for group in _batch(messages, self._body_limit):
            data = encode_envelope(Envelope(self.address, group))
            self.traffic.sent_messages += len(group)
            self.traffic.sent_bytes += len(data)
            if not outbox.send(data):
                for message in group:
                    self._on_drop(message)

    def _remove(self, address: str) -> None:
        outbox = self._outboxes.pop(address)
        outbox.close()
        for message in outbox.queued:
            self._on_drop(message)
        outbox.queued = []

    def _read(self) -> None:
        while True:
            self._yield_after_slice()
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                wait_read(self._inbox.recv_fd)
                self._resumed_at = time.thread_time()
                continue
            except pynng.Closed:
                return
            self.traffic.received_bytes += len(data)
            self._deliver(data)

    def _yield_after_slice(self) -> None:
        if time.thread_time() - self._resumed_at >= _SLICE:
            gevent.sleep(_PAUSE)
            self._resumed_at = time.thread_time()

    def _deliver(self, data: bytes) -> None:
        try:
            envelope = decode_envelope(data)
        except LinkError as error:
            _log.warning("message refused", extra={"error": str(error)})
            return
        for message in envelope.messages:
            self._yield_after_slice()
            try:
                self._handler(message, envelope.sender)
            except Exception:
                _log.exception("message failed")
