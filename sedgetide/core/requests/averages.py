"""Moving averages of service times and answer sizes on one host."""

from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName

# Seconds; used before the first answer of a service.
_DEFAULT_SERVICE_TIME = 0.25
# Smoothing factor; half of the weight is on the last seven answers.
_SMOOTHING = 0.1


class AnswerAverages:
    """Exponential moving averages of answers, by service and by route."""

    def __init__(self) -> None:
        self._seconds: dict[ServiceName, float] = {}
        self._bytes: dict[RouteName, float] = {}

    def note_answer(
        self,
        route: RouteName,
        service: ServiceName,
        seconds: float,
        size: int,
    ) -> None:
        """Update the averages from an answer.

        Parameters
        ----------
        seconds : float
            Time from the send to the complete answer.
        size : int
            Size of its body in bytes.
        """
        average_time = self._seconds.setdefault(service, seconds)
        self._seconds[service] = average_time + _SMOOTHING * (
            seconds - average_time
        )
        average_size = self._bytes.setdefault(route, size)
        self._bytes[route] = average_size + _SMOOTHING * (size - average_size)

    def find_service_time(self, service: ServiceName) -> float:
        """Return the average service time of a service in seconds."""
        return self._seconds.get(service, _DEFAULT_SERVICE_TIME)

    def find_answer_size(self, route: RouteName) -> float:
        """Return the average answer size of a route; zero before the first."""
        return self._bytes.get(route, 0.0)
