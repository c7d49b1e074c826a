"""Reads one answer within limits, and lets other tasks run meanwhile."""

import re

import gevent
from gevent import socket

from sedgetide.core.requests.readlimits import has_many_blanks
from sedgetide.core.requests.readlimits import ReadBudget
from sedgetide.runtime.clock import read_clock

_RECV_BYTES = 64 * 1024
# Bytes of a chunked body that are parsed in one step. If all are trailers, it
# takes some 20 ms for short lines, and 30 to 50 ms for blanks.
_CHUNKED_PART_BYTES = 16 * 1024
_BLANK_PART_BYTES = 1024
# Seconds of reading and parsing after which other tasks run.
_MAX_SLICE = 0.002
# h11 and llhttp accept lines that end without a carriage return.
_HEAD_END = re.compile(rb"\n\r?\n")
# Characters that can still be the start of the end of a head.
_HEAD_END_OVERLAP = 2


class BoundedReader:
    """Reads the head and the body of an answer from a socket.

    A receive of gevent returns at once while bytes are there. A loop of them
    would never let the event loop run, so that neither other tasks nor the
    timer of the exchange would.

    Parameters
    ----------
    connection : socket
        Connected socket.
    budget : ReadBudget
        Limits of the answer.
    """

    def __init__(self, connection: socket.socket, budget: ReadBudget) -> None:
        self._socket = connection
        self.budget = budget
        self.unread = bytearray()
        self._resumed_at = read_clock()

    def read_head(self) -> bytes:
        """Return the next head up to its end.

        A head is passed on in whole, so that its cost is known before it is
        parsed. Without an end, returns what was received before the peer
        closed the connection.

        Raises
        ------
        ReadCut
            If the head exceeds a limit, or time is over.
        """
        searched = 0
        while True:
            start = max(0, searched - _HEAD_END_OVERLAP)
            end = _HEAD_END.search(self.unread, start)
            if end is not None:
                head = self._take(end.end())
                self.budget.note_head(head)
                return head
            searched = len(self.unread)
            self.budget.check_open_head(searched)
            data = self._receive()
            if not data:
                return self._take(searched)
            self.unread += data

    def read(self, size: int) -> bytes:
        """Return at most some bytes; empty when the peer has closed.

        Raises
        ------
        ReadCut
            If the answer exceeds a limit, or time is over.
        """
        self._require_unread()
        return self._take(size)

    def read_chunked(self) -> bytes:
        """Return some bytes of a chunked body; empty when the peer has closed.

        They are fewer if there are many blanks in a row. These may be in a
        trailer, for which h11 needs time that grows with their square.
        """
        self._require_unread()
        if has_many_blanks(self.unread[:_CHUNKED_PART_BYTES]):
            return self._take(_BLANK_PART_BYTES)
        return self._take(_CHUNKED_PART_BYTES)

    def _require_unread(self) -> None:
        if not self.unread:
            self.budget.check_framing()
            self.unread += self._receive()

    def return_unparsed(self, data: bytes) -> None:
        """Put back bytes that a parser has not used."""
        self.unread[:0] = data

    def pace(self) -> None:
        """Let other tasks run if this one has run for a while."""
        now = read_clock()
        if now - self._resumed_at < _MAX_SLICE:
            return
        self.budget.check_time(now)
        gevent.sleep(self.budget.find_pause())
        self._resumed_at = read_clock()

    def _take(self, size: int) -> bytes:
        taken = bytes(self.unread[:size])
        del self.unread[:size]
        return taken

    def _receive(self) -> bytes:
        self.pace()
        called_at = read_clock()
        self.budget.check_time(called_at)
        data: bytes = self._socket.recv(_RECV_BYTES)
        self.budget.note_received(len(data))
        now = read_clock()
        if now - called_at >= _MAX_SLICE:
            # Other tasks ran while it waited.
            self._resumed_at = now
        return data
