"""Whether an upstream leaves everything that it is sent unanswered."""

# Seconds between the first and the last unanswered order. The registry entry
# of a frozen upstream lapses in 2.6 s at the usual heartbeat.
_MIN_SECONDS = 2.0
# Some upstreams leave single orders unanswered.
_MIN_ORDERS = 3


class Silence:
    """Orders that an upstream has received since its last answer.

    Orders that weren't sent don't count, so a lost path is no silence.
    """

    def __init__(self) -> None:
        self._orders = 0
        self._first_at = 0.0
        self._last_at = 0.0

    def note_unanswered(self, sent_at: float) -> None:
        """Record an order that was sent at a time, and not answered."""
        if not self._orders:
            self._first_at = sent_at
        self._orders += 1
        self._last_at = sent_at

    def note_answer(self) -> None:
        """Record a complete answer to an order or to a request."""
        self._orders = 0

    @property
    def lasting(self) -> bool:
        """Whether it has left several orders unanswered over some time."""
        seconds = self._last_at - self._first_at
        return self._orders >= _MIN_ORDERS and seconds >= _MIN_SECONDS
