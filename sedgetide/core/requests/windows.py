"""How many requests one host may have at one upstream at a time.

Hosts do not know of each other's requests. Each lets its share grow while
the upstream says that nobody waits there, and shrink when many do, so that
together they stay below what makes the upstream refuse. Where hosts are
more than an upstream's slots, the share falls below one request: the host
then waits between two of them.
"""

import msgspec

_GROWTH = 0.5
_SHRINK = 0.7
_REFUSED = 0.5
_SMALLEST = 0.05
_FRACTION_GROWTH = 1.5
_REST_AT_BEST = 0.25
_LONGEST_PAUSE = 10.0


class UpstreamLoad(msgspec.Struct, frozen=True):
    """What an upstream said of itself with an answer.

    Parameters
    ----------
    running, waiting : int
        Requests that it works on, and that wait for one of its slots.
    slots : int
        Requests that it works on at a time.
    pace : float
        Factor by which work takes longer there at this moment than usual.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0


class Window:
    """Bound of the requests in flight from this host to one upstream.

    Parameters
    ----------
    slots : int
        Requests the upstream works on at a time.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._limit = float(max(1, slots))
        self.in_flight = 0
        self._waiting = 0
        self._told_at = float("-inf")
        self._next_at = float("-inf")

    @property
    def limit(self) -> float:
        """Requests that may be in flight; below one, a share of the time."""
        return self._limit

    def find_opening(self, now: float) -> float | None:
        """Return when one more request may be sent; None: after an answer.

        Parameters
        ----------
        now : float
            Own clock.
        """
        if self.in_flight >= max(1, int(self._limit)):
            return None
        return now if self._limit >= 1.0 else max(now, self._next_at)

    def is_free(self, now: float) -> bool:
        """Tell whether one more request may be sent now."""
        opening = self.find_opening(now)
        return opening is not None and opening <= now

    def estimate_wait(self, ahead: int, seconds: float, now: float) -> float:
        """Return after how long one more request might be sent, at best.

        Parameters
        ----------
        ahead : int
            Requests that wait and go first.
        seconds : float
            How long requests take there.
        now : float
            Own clock.
        """
        opening = self.find_opening(now)
        if opening is None:
            # What is in flight has been for some time already.
            opening = now + seconds * _REST_AT_BEST
        return opening - now + ahead * seconds / self._limit

    def note_end(self, seconds: float, now: float) -> None:
        """Take in that a request has ended.

        Parameters
        ----------
        seconds : float
            How long requests take there.
        """
        self.in_flight -= 1
        if self._limit < 1.0:
            pause = seconds * (1.0 / self._limit - 1.0)
            # A slow upstream may have recovered long before; nobody learns
            # of it but by the next request.
            self._next_at = now + min(_LONGEST_PAUSE, pause)

    def note_load(self, load: UpstreamLoad, now: float) -> None:
        """Take in what the upstream said."""
        self._waiting = load.waiting
        self._told_at = now
        if load.waiting == 0:
            self._grow()
        elif load.waiting > self.slots:
            self._limit = max(_SMALLEST, self._limit * _SHRINK)

    def _grow(self) -> None:
        if self._limit < 1.0:
            self._limit = min(1.0, self._limit * _FRACTION_GROWTH)
        else:
            most = 2.0 * self.slots + 1
            self._limit = min(most, self._limit + _GROWTH)

    def note_refusal(self, load: UpstreamLoad | None = None) -> None:
        """Take in that the upstream took a request for one too many.

        Parameters
        ----------
        load : UpstreamLoad or None
            What it said of itself. One that refuses while nobody waits
            there has room and a fault: sending it less would add our own
            refusals to its.
        """
        if load is not None and load.waiting == 0:
            return
        self._limit = max(_SMALLEST, self._limit * _REFUSED)

    def estimate_queue(self, now: float) -> float:
        """Return how many requests are at the upstream, by what is known."""
        age = now - self._told_at
        others = self._waiting * max(0.0, 1.0 - age) if age < 1.0 else 0.0
        return self.in_flight + others
