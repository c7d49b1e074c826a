"""Detection of network partitions that cut off this host's data centre.

A data centre that is cut off can soon serve very little: keys owned elsewhere
are unreachable from the start, and local keys become unavailable because
their grants are not renewed. The load balancer may still reach the other data
centres. A host that detects the partition withdraws from the balancer, so
that its callers are served there.
"""

from sedgetide.core.identifiers import DataCentre

# Seconds. Updates normally arrive every 0.5 s, and later while the store is
# slow.
_STORE_TIMEOUT = 1.5
# The loss of a single upstream may cause two attempts to fail.
_MIN_FAILURES = 3
# Seconds; a host sends several requests a second to other data centres.
_REMOTE_TIMEOUT = 1.0
# Half of the weight is on the last 14 requests, which is a quarter of a second
# for a host with 60 requests per second.
_GAIN = 0.05
# The other data centres serve at least this share once the owners that are cut
# off have been replaced, and until then the share that they own.
_MIN_SERVED_SHARE = 0.7
# Seconds. If all data centres are cut off from each other, none can serve the
# callers of another one. A host therefore returns after a while and does not
# withdraw again for some time.
_MAX_WITHDRAWAL = 10.0
_MIN_TIME_BETWEEN_WITHDRAWALS = 30.0

NEVER = float("-inf")


class PartitionDetector:
    """Detects a partition from the results of the host's own requests.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of the host.
    """

    def __init__(self, data_centre: DataCentre) -> None:
        self._own = data_centre
        self._remote_reached_at = NEVER
        self._remote_failures = 0
        self._served_share = 1.0
        self._withdrawn_at: float | None = None
        self._returned_at = NEVER

    def note_reached(self, data_centre: DataCentre, now: float) -> None:
        """Record that an upstream answered."""
        if data_centre != self._own:
            self._remote_reached_at = now
            self._remote_failures = 0

    def note_unreached(self, data_centre: DataCentre) -> None:
        """Record that an upstream was unreachable or did not answer."""
        if data_centre != self._own:
            self._remote_failures += 1

    def note_end(self, served: bool) -> None:
        """Record whether a request got its answer."""
        self._served_share += _GAIN * (float(served) - self._served_share)

    def _is_cut_off(
        self, heard_at: float, now: float, paths_lost: bool
    ) -> bool:
        return (
            now - heard_at >= _STORE_TIMEOUT
            and now - self._remote_reached_at >= _REMOTE_TIMEOUT
            and (paths_lost or self._remote_failures >= _MIN_FAILURES)
            and self._served_share < _MIN_SERVED_SHARE
        )

    def should_withdraw(
        self, heard_at: float, now: float, paths_lost: bool = False
    ) -> bool:
        """Return whether callers should be sent to other data centres.

        Parameters
        ----------
        heard_at : float
            Local time of the last update from the store.
        now : float
            Current monotonic time in seconds.
        paths_lost : bool
            Whether the paths to all other data centres are lost. Then no
            request is sent there that could fail.
        """
        if self._withdrawn_at is not None:
            if now - heard_at < _STORE_TIMEOUT:
                self._withdrawn_at = None
                self._served_share = 1.0
            elif now - self._withdrawn_at >= _MAX_WITHDRAWAL:
                self._withdrawn_at = None
                self._returned_at = now
        elif (
            self._is_cut_off(heard_at, now, paths_lost)
            and now - self._returned_at >= _MIN_TIME_BETWEEN_WITHDRAWALS
        ):
            self._withdrawn_at = now
        return self._withdrawn_at is not None
