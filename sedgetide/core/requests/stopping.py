"""Times of a host that has been told to stop."""

import msgspec

from sedgetide.core.requests.routes import RequestTimes

# Multiple of the usual service time that a request must have left when it is
# sent: a run that is broken off may have had its effect, while a refused
# request runs at another host.
_WORK_MARGIN = 2.0


class StopSchedule(msgspec.Struct):
    """Until when a host sends requests, and when it ends them.

    Parameters
    ----------
    ends_at : float
        Monotonic time at which each request gets its final answer at the
        latest; infinity until the host is told to stop.
    """

    ends_at: float = float("inf")

    def cap_times(self, times: RequestTimes) -> RequestTimes:
        """Return the times of a request, ended with the host."""
        final = min(times.final, self.ends_at)
        return msgspec.structs.replace(times, final=final)

    def find_send_limit(self, service_time: float) -> float:
        """Return until when a request may be sent to an upstream.

        Parameters
        ----------
        service_time : float
            Usual service time in seconds.
        """
        return self.ends_at - _WORK_MARGIN * service_time
