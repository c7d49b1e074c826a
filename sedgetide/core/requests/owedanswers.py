"""Requests to which an upstream owes a host an answer."""

import itertools

# Requests without an answer after which others aren't sent.
_MIN_REQUESTS = 3
# Seconds, and times the usual service time, for which an answer is owed.
_MIN_SECONDS = 0.5
_SERVICE_TIMES = 4.0
# Seconds after which a request that timed out no longer counts.
_LIFE = 5.0


class OwedAnswers:
    """Requests that one upstream has received since its last answer.

    All callers of an upstream that answers nothing would wait until their
    deadlines, at a place that the next one waits for. So further requests are
    refused as long as one is waiting, which shows whether it answers again.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._waiting: dict[int, float] = {}
        self._silent: dict[int, float] = {}

    def note_sent(self, now: float) -> int:
        """Record a request; return its number for :meth:`note_end`."""
        number = next(self._numbers)
        self._waiting[number] = now
        return number

    def note_end(self, number: int, silent: bool) -> None:
        """Record that nobody waits for the answer to a request any more.

        Parameters
        ----------
        silent : bool
            Whether there was no answer in time, or one that was cut at a
            limit. Other requests were answered, or their callers or
            connections have gone.
        """
        sent_at = self._waiting.pop(number, None)
        if silent and sent_at is not None:
            self._silent[number] = sent_at

    def note_answer(self, now: float) -> None:
        """Record an answer; others are owed from now on."""
        self._silent.clear()
        self._waiting = dict.fromkeys(self._waiting, now)

    def find_silence(self, usual: float, now: float) -> float:
        """Return for how long the upstream has owed several answers.

        Parameters
        ----------
        usual : float
            Usual service time of the upstream, in seconds.
        now : float
            Current monotonic time in seconds.

        Returns
        -------
        float
            Seconds; 0 if another request may be sent.
        """
        if not self._waiting:
            return 0.0
        for number, sent_at in list(self._silent.items()):
            if now - sent_at > _LIFE:
                del self._silent[number]
        limit = max(_MIN_SECONDS, _SERVICE_TIMES * usual)
        owed = [
            now - sent_at
            for sent_at in (*self._waiting.values(), *self._silent.values())
            if now - sent_at >= limit
        ]
        return max(owed) if len(owed) >= _MIN_REQUESTS else 0.0
