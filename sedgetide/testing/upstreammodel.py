"""State of the simulated upstream, without I/O."""

from collections.abc import Mapping

import msgspec

from sedgetide.core.identifiers import Epoch
from sedgetide.core.ownership.assignment import ShardKey


class JournalEntry(msgspec.Struct):
    """An operation that the upstream began.

    Parameters
    ----------
    began, ended : float
        Times by the machine's monotonic clock; ``ended`` is None while the
        operation runs.
    operation : str
        Value of the caller's ``Idempotency-Key``, or the path.
    """

    upstream: str
    began: float
    shard: str
    epoch: int
    method: str
    path: str
    operation: str
    request: str
    ended: float | None = None


class _Grant(msgspec.Struct):
    epoch: Epoch
    until: float


class UpstreamModel:
    """Grants, fences, slots and the journal of one upstream.

    A fence is the epoch of the last grant or release of a shard. An upstream
    that checks orders refuses grants with a lower epoch.

    Parameters
    ----------
    name : str
        Name of the upstream in the journal.
    incarnation : str
        Id of the process; changes with each start.
    checks_orders : bool
        Whether stale orders and requests are refused.
    slots : int
        Requests served at a time. Others wait, and a request is shed when
        more than twice as many are already running or waiting.

    Attributes
    ----------
    taken : set
        Shards and epochs of all grants that it has accepted.
    """

    def __init__(
        self, name: str, incarnation: str, checks_orders: bool, slots: int
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.checks_orders = checks_orders
        self.slots = slots
        self.running = 0
        self.orderer = ""
        self.journal: list[JournalEntry] = []
        self.taken: set[tuple[ShardKey, Epoch]] = set()
        self._open_entries: list[JournalEntry] = []
        self._grants: dict[ShardKey, _Grant] = {}
        self._fences: dict[ShardKey, Epoch] = {}
        self._cancelled: set[str] = set()
        self._begun: set[str] = set()

    @staticmethod
    def issue_stamp(now: float) -> str:
        """Return the clock reading as an opaque stamp."""
        return f"{now:.6f}"

    def find_expiry(self, stamp: str, life: float, now: float) -> float:
        """Return when a grant expires.

        An upstream that checks orders counts from the stamp. Otherwise an
        order that stayed in its socket buffer while it was frozen would make
        it the owner of shards that have been reassigned.
        """
        return (float(stamp) if self.checks_orders else now) + life

    def grant(
        self,
        orderer: str,
        stamp: str,
        life: float,
        shards: Mapping[ShardKey, Epoch],
        now: float,
    ) -> tuple[str, list[ShardKey]]:
        """Accept grants; return the previous orderer and refused shards."""
        previous = self.orderer
        until = self.find_expiry(stamp, life, now)
        if until <= now:
            return previous, list(shards)
        self.orderer = orderer
        refused = []
        for key, epoch in shards.items():
            if self.checks_orders and epoch < self._fences.get(key, 0):
                refused.append(key)
                continue
            self._fences[key] = epoch
            self._grants[key] = _Grant(epoch, until)
            self.taken.add((key, epoch))
        return previous, refused

    def release(self, shards: Mapping[ShardKey, Epoch]) -> list[ShardKey]:
        """Release shards; return those kept because a request still runs.

        The fences of the released shards are raised to the given epochs.
        """
        busy = {
            each.shard for each in self._open_entries if each.ended is None
        }
        self._open_entries = [
            each for each in self._open_entries if each.ended is None
        ]
        refused = [key for key in shards if str(key) in busy]
        for key, epoch in shards.items():
            if key in refused:
                continue
            self._fences[key] = max(self._fences.get(key, Epoch(0)), epoch)
            grant = self._grants.get(key)
            if grant is not None and grant.epoch < epoch:
                del self._grants[key]
        return refused

    def owns(self, key: ShardKey, now: float) -> bool:
        """Return whether the upstream holds an unexpired grant of a shard."""
        grant = self._grants.get(key)
        return grant is not None and now < grant.until

    def measure_held(self, now: float) -> float:
        """Return the seconds until the last grant expires."""
        left = (grant.until - now for grant in self._grants.values())
        return max(0.0, max(left, default=0.0))

    def list_owned(self, now: float) -> dict[str, int]:
        """Return the epochs of unexpired grants by shard."""
        return {
            str(key): grant.epoch
            for key, grant in self._grants.items()
            if now < grant.until
        }

    def find_refusal(
        self,
        key: ShardKey | None,
        epoch: int,
        orderer: str,
        expires: float,
        now: float,
    ) -> str:
        """Return why a request is declined; empty when it may begin."""
        if self.running > 2 * self.slots:
            return "shed"
        if self.checks_orders and now > expires:
            return "expired"
        if key is None:
            return ""
        if not self.owns(key, now):
            return "no-grant"
        if not self.checks_orders:
            return ""
        if self._grants[key].epoch != epoch:
            return "stale-epoch"
        if orderer != self.orderer:
            return "stale-orderer"
        return ""

    def begin(self, entry: JournalEntry) -> None:
        """Add an operation to the journal."""
        self.journal.append(entry)
        self._open_entries.append(entry)

    def cancel(self, number: str) -> bool:
        """Cancel a request; return True if it has already begun."""
        if number in self._begun:
            return True
        self._cancelled.add(number)
        return False

    def start(self, number: str) -> bool:
        """Begin a request; return False if it was cancelled before."""
        if number in self._cancelled:
            return False
        self._begun.add(number)
        return True
