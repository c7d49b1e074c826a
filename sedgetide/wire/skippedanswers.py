"""Log line, counter and state of answers that belong to another request."""

from prometheus_client import Counter

from sedgetide.core.requests.peercounts import PeerCounts
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event

ANSWERS_SKIPPED = Counter(
    "sedgetide_answers_skipped",
    "Answers that belong to another request than the one under way.",
)
# Of this process, as its metrics are.
_skipped_answers = PeerCounts()


def note_skipped_answer(peer: str, status: int) -> None:
    """Count and log an answer that came where another was expected.

    Parameters
    ----------
    peer : str
        ``IP:port`` of the process that answered.
    status : int
        Status code of the answer.
    """
    ANSWERS_SKIPPED.inc()
    _skipped_answers.note(peer)
    log_event(Event.ANSWER_SKIPPED, peer=peer, status=status)


def dump_skipped_answers() -> dict[str, int]:
    """Return the numbers of skipped answers by peer."""
    return _skipped_answers.dump_state()
