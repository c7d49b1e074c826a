"""Heartbeats and the spread of records between processes."""

import abc
from collections.abc import Iterable
import logging

from sedgetide.coding.messages import AnyMessage
from sedgetide.coding.messages import Ping
from sedgetide.coding.messages import Pong
from sedgetide.coding.messages import Pull
from sedgetide.coding.messages import Records
from sedgetide.coding.messages import Status
from sedgetide.core.configuration.records import Record
from sedgetide.core.configuration.records import RecordCache
from sedgetide.core.identifiers import LinkAddress
from sedgetide.core.membership.liveness import Liveness
from sedgetide.core.membership.liveness import PeerState
from sedgetide.core.timing import Timing
from sedgetide.links import Transport

_log = logging.getLogger(__name__)


class HeartbeatsOwner(abc.ABC):
    """The process a heartbeats speaks for."""

    @abc.abstractmethod
    def make_status(self, now: float) -> Status:
        """Return what the process says of itself."""

    @abc.abstractmethod
    def note_status(
        self, address: LinkAddress, asked_at: float, status: Status
    ) -> None:
        """Take in the answer of a peer."""

    @abc.abstractmethod
    def note_ping(self, address: LinkAddress, status: Status) -> None:
        """Take in what a peer says of itself in its question."""

    @abc.abstractmethod
    def note_record(self, record: Record) -> None:
        """Take in a newer version of a record."""


class Heartbeats:
    """Asks peers for a sign of life and hands records on.

    Parameters
    ----------
    transport : Transport
        Links of the process.
    cache : RecordCache
        Records of the process.
    timing : Timing
        Intervals.
    owner : HeartbeatsOwner
        The process.
    """

    def __init__(
        self,
        transport: Transport,
        cache: RecordCache,
        timing: Timing,
        owner: HeartbeatsOwner,
    ) -> None:
        self._transport = transport
        self._cache = cache
        self._timing = timing
        self._owner = owner
        # First and last question of an unbroken row of questions.
        self._asked: dict[LinkAddress, tuple[float, float]] = {}
        self.liveness = Liveness(timing.silence)
        self.statuses: dict[LinkAddress, Status] = {}
        self._received: dict[LinkAddress, float] = {}

    def ping(self, addresses: Iterable[LinkAddress], now: float) -> None:
        """Ask peers for a sign of life."""
        status = self._owner.make_status(now)
        for address in addresses:
            first = self._note_question(address, now)
            silent_seconds = min(
                self.liveness.measure_silence(address, now), now - first
            )
            if silent_seconds <= self._timing.silence:
                silent_seconds = 0
            else:
                self._transport.redial(address, 2 * self._timing.silence)
            self._transport.send(address, Ping(now, silent_seconds, status))

    def _note_question(self, address: LinkAddress, now: float) -> float:
        """Return since when a peer has been asked without a break."""
        first, last = self._asked.get(address, (now, now))
        if now - last > self._timing.silence:
            first = now
        self._asked[address] = (first, now)
        return first

    def push(
        self, addresses: Iterable[LinkAddress], records: list[Record]
    ) -> None:
        """Send records to peers without being asked."""
        for address in addresses:
            self._transport.send(address, Records(records))

    def find_state(self, address: LinkAddress, now: float) -> PeerState:
        """Return the state of a peer."""
        return self.liveness.find_state(address, now)

    def find_receipt(self, address: LinkAddress) -> float:
        """Return when the last answer of a peer came."""
        return self._received[address]

    def is_known_silent(self, address: LinkAddress, now: float) -> bool:
        """Tell whether a peer is being asked, for long and in vain.

        One that has merely not been asked of late may well be alive.
        """
        asked = self._asked.get(address)
        if asked is None or now - asked[1] > self._timing.silence:
            return False
        if now - asked[0] <= self._timing.silence:
            return False
        return self.find_state(address, now) is PeerState.SILENT

    def handle(self, message: AnyMessage, sender: str, now: float) -> None:
        """Take in a message of this protocol; ignore all others."""
        address = LinkAddress(sender)
        match message:
            case Ping():
                self._answer(message, address, now)
            case Pong():
                self._note_answer(message, address, now)
            case Pull():
                newer = list(self._cache.list_newer(message.revisions))
                if newer:
                    self._transport.send(sender, Records(newer))
            case Records():
                self.apply(message.records)

    def apply(self, records: Iterable[Record]) -> list[Record]:
        """Put records in force; return those that were newer."""
        newer = [each for each in records if self._cache.apply(each)]
        for record in newer:
            _log.info(
                "record applied",
                extra={"key": record.key, "revision": record.revision},
            )
            self._owner.note_record(record)
        return newer

    def _answer(self, ping: Ping, address: LinkAddress, now: float) -> None:
        if ping.silent_seconds > self._timing.silence:
            # The way back may be the one that is silent, and only the
            # sender of the ping can notice it.
            self._transport.redial(address, 2 * self._timing.silence)
        status = self._owner.make_status(now)
        self._transport.send(address, Pong(ping.asked_at, status))
        self._owner.note_ping(address, ping.status)
        self._compare(ping.status, address)

    def _note_answer(
        self, pong: Pong, address: LinkAddress, now: float
    ) -> None:
        status = pong.status
        self.statuses[address] = status
        self._received[address] = now
        self.liveness.note_answer(address, pong.asked_at, status.leaving)
        self._owner.note_status(address, pong.asked_at, status)
        self._compare(status, address)

    def _compare(self, status: Status, address: LinkAddress) -> None:
        if status.digest and status.digest != self._cache.digest:
            pull = Pull(self._cache.list_revisions())
            self._transport.send(address, pull)
