"""What requests of one host usually take, and how large answers are."""

from sedgetide.core.identifiers import RouteName
from sedgetide.core.identifiers import ServiceName

# Seconds; before the first answer of a service.
_FIRST_GUESS = 0.25
# Half of the weight lies on the last seven answers.
_GAIN = 0.1


class AnswerAverages:
    """Means of the last answers, by service and by route."""

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
        """Take in an answer.

        Parameters
        ----------
        seconds : float
            From the send to the whole answer.
        size : int
            Bytes of its body.
        """
        usual = self._seconds.setdefault(service, seconds)
        self._seconds[service] = usual + _GAIN * (seconds - usual)
        known = self._bytes.setdefault(route, size)
        self._bytes[route] = known + _GAIN * (size - known)

    def find_service_time(self, service: ServiceName) -> float:
        """Return what requests for a service take, in seconds."""
        return self._seconds.get(service, _FIRST_GUESS)

    def find_answer_size(self, route: RouteName) -> float:
        """Return how large answers of a route are; zero before the first."""
        return self._bytes.get(route, 0.0)
