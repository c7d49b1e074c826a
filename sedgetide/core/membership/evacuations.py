"""Data centres that are being evacuated at the request of operators.

As soon as an evacuation is requested, the data centre gets no new work: no
keys, and no requests for services without keys. Requests for keys are still
sent to their owners there until the keys have moved, so that they do not all
queue at once. This ends after half of the time allowed by the operators, even
if there is no leader to move the keys.
"""

from collections.abc import Collection

from sedgetide.core.identifiers import DataCentre

# The other half allows for the delay until a host learns of the evacuation and
# until a request reaches its upstream.
_SERVING_SHARE = 0.5
# Seconds. A watch of the store ends after 2.5 s without news. An evacuation
# that is heard of after a longer silence may be as old as the silence.
_MAX_NEWS_DELAY = 3.0
_NEVER = float("-inf")


class Evacuations:
    """Data centres being evacuated, and since when this is known.

    Parameters
    ----------
    allowed : float
        Seconds after which an evacuated data centre gets no more requests.
    """

    def __init__(self, allowed: float) -> None:
        self._serving_time = allowed * _SERVING_SHARE
        self._started: dict[DataCentre, float] = {}
        self._cancelled: dict[DataCentre, float] = {}

    def start(
        self, data_centre: DataCentre, heard_at: float, now: float
    ) -> bool:
        """Record that a data centre is to be evacuated.

        Parameters
        ----------
        heard_at : float
            Local time of the last news from the store before this one;
            minus infinity for a host that has just started. Such a host
            must not treat an old evacuation as a new one, or it would send
            requests there long after all other hosts have stopped.
        now : float
            Current monotonic time in seconds.

        Returns
        -------
        bool
            Whether the evacuation was not known before.
        """
        if data_centre in self._started:
            return False
        prompt = now - heard_at <= _MAX_NEWS_DELAY
        self._started[data_centre] = now if prompt else heard_at
        return True

    def cancel(self, data_centre: DataCentre, now: float) -> float | None:
        """Record that a data centre may get work again.

        Returns
        -------
        float or None
            Seconds for which the evacuation was known; None if it was not.
        """
        started_at = self._started.pop(data_centre, None)
        if started_at is None:
            return None
        self._cancelled[data_centre] = now
        return now - started_at

    def is_evacuating(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre is being evacuated."""
        return data_centre in self._started

    def may_serve(self, data_centre: DataCentre, now: float) -> bool:
        """Return whether owners there may get requests for their keys."""
        started_at = self._started.get(data_centre)
        return started_at is None or now < started_at + self._serving_time

    def find_cancelled_at(self, data_centre: DataCentre) -> float:
        """Return when the last evacuation of a data centre was cancelled."""
        return self._cancelled.get(data_centre, _NEVER)

    def list_evacuating(self) -> Collection[DataCentre]:
        """Return the data centres that are being evacuated."""
        return sorted(self._started)

    def describe(self, now: float) -> dict[str, float]:
        """Return for how many seconds each evacuation has been known."""
        return {
            name: round(min(now - started_at, 1e9), 1)
            for name, started_at in self._started.items()
        }
