"""Data centres whose upstreams operators want emptied.

From the moment that it is asked for, an evacuated data centre gets no new
work: no keys, and no requests for services without keys. Requests for keys
go on to their owner there until the keys have moved, so that not all of them
wait at once; but no longer than for half of the time that operators grant,
whether or not a leader lives to move them.
"""

from collections.abc import Collection

from sedgetide.core.identifiers import DataCentre

# The other half covers what the wish takes to reach a host, and a request to
# reach its upstream.
_SERVING_SHARE = 0.5
# Seconds. A watch of the store ends after 2.5 without news; a wish that comes
# after a longer silence may be as old as the silence.
_PROMPT = 3.0
_NEVER = float("-inf")


class Evacuations:
    """Which data centres are to be empty, and since when this is known.

    Parameters
    ----------
    allowed : float
        Seconds after which a data centre gets no requests at all.
    """

    def __init__(self, allowed: float) -> None:
        self._serving = allowed * _SERVING_SHARE
        self._asked: dict[DataCentre, float] = {}
        self._returned: dict[DataCentre, float] = {}

    def start(
        self, data_centre: DataCentre, heard_at: float, now: float
    ) -> bool:
        """Take in that a data centre is to be empty.

        Parameters
        ----------
        heard_at : float
            When the store was heard last before this, by the own clock. A
            host that has just started has not heard it at all, and must not
            take an old wish for a new one: it would send for another while
            what nobody has sent for a long time.
        now : float
            Own clock.

        Returns
        -------
        bool
            Whether this is news.
        """
        if data_centre in self._asked:
            return False
        prompt = now - heard_at <= _PROMPT
        self._asked[data_centre] = now if prompt else heard_at
        return True

    def cancel(self, data_centre: DataCentre, now: float) -> float | None:
        """Take in that a data centre may get work again.

        Returns
        -------
        float or None
            Seconds for which it was known to be evacuated; None when it was
            not.
        """
        asked_at = self._asked.pop(data_centre, None)
        if asked_at is None:
            return None
        self._returned[data_centre] = now
        return now - asked_at

    def is_evacuating(self, data_centre: DataCentre) -> bool:
        """Tell whether a data centre gets no new work."""
        return data_centre in self._asked

    def may_serve(self, data_centre: DataCentre, now: float) -> bool:
        """Tell whether owners there may get requests for keys they hold."""
        asked_at = self._asked.get(data_centre)
        return asked_at is None or now < asked_at + self._serving

    def find_cancelled_at(self, data_centre: DataCentre) -> float:
        """Return when a data centre was taken back last."""
        return self._returned.get(data_centre, _NEVER)

    def list_evacuating(self) -> Collection[DataCentre]:
        """Return the data centres that are to be empty."""
        return sorted(self._asked)

    def describe(self, now: float) -> dict[str, float]:
        """Return for how many seconds each is known to be evacuated."""
        return {
            name: round(min(now - asked_at, 1e9), 1)
            for name, asked_at in self._asked.items()
        }
