"""Whether this host is cut off, so that its callers do better elsewhere.

A data centre that is cut off serves what it can. Soon that is little: keys
that are owned elsewhere are out of reach from the first moment, and the own
ones go dark as nobody renews their grants. The balancer may reach the other
data centres all the same. A host that knows itself cut off tells it so, and
its callers are served there.
"""

from sedgetide.core.identifiers import DataCentre

# Seconds. News comes each 0.5 s in calm times, and later while the store is
# slow.
_SILENCE = 1.5
# Two attempts may fail by the loss of one upstream.
_LEAST_FAILURES = 3
# Seconds; a host sends several requests a second to other data centres.
_FAR_SILENCE = 1.0
# Half of the weight lies on the last 14 requests, a quarter of a second of a
# host with 60 a second.
_GAIN = 0.05
# The others serve at least as large a part once the owners that are cut off
# have been replaced; until then, the part that is owned there.
_SERVED_ENOUGH = 0.7
# Seconds. When all data centres are cut off from each other, nobody serves
# the callers that are sent away. So it is tried, and given up for a while.
_LONGEST_ABSENCE = 10.0
_LEAST_PRESENCE = 30.0

NEVER = float("-inf")


class PartitionDetector:
    """Reach of one host, as its own requests show it.

    Parameters
    ----------
    data_centre : DataCentre
        Where it runs.
    """

    def __init__(self, data_centre: DataCentre) -> None:
        self._own = data_centre
        self._far_reached_at = NEVER
        self._far_failures = 0
        self._served = 1.0
        self._left_at: float | None = None
        self._returned_at = NEVER

    def note_reached(self, data_centre: DataCentre, now: float) -> None:
        """Take in that an upstream answered."""
        if data_centre != self._own:
            self._far_reached_at = now
            self._far_failures = 0

    def note_unreached(self, data_centre: DataCentre) -> None:
        """Take in that an upstream could not be reached, or was silent."""
        if data_centre != self._own:
            self._far_failures += 1

    def note_end(self, served: bool) -> None:
        """Take in whether a request got its answer."""
        self._served += _GAIN * (float(served) - self._served)

    def _is_cut_off(self, heard_at: float, now: float) -> bool:
        return (
            now - heard_at >= _SILENCE
            and now - self._far_reached_at >= _FAR_SILENCE
            and self._far_failures >= _LEAST_FAILURES
            and self._served < _SERVED_ENOUGH
        )

    def should_withdraw(self, heard_at: float, now: float) -> bool:
        """Tell whether callers should be sent to other data centres.

        Parameters
        ----------
        heard_at : float
            When this host last heard what the store holds.
        now : float
            Own clock.
        """
        if self._left_at is not None:
            if now - heard_at < _SILENCE:
                self._left_at = None
                self._served = 1.0
            elif now - self._left_at >= _LONGEST_ABSENCE:
                self._left_at = None
                self._returned_at = now
        elif (
            self._is_cut_off(heard_at, now)
            and now - self._returned_at >= _LEAST_PRESENCE
        ):
            self._left_at = now
        return self._left_at is not None
