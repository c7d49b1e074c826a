"""One round of renewals of all that an upstream owns."""

from collections.abc import Callable
from collections.abc import Sequence

from gevent.pool import Pool

from sedgetide.core.ownership.ranges import Tenure
from sedgetide.daemons._orderclient import OrderOutcome

_WORKERS = 3
_RETRIED = frozenset({OrderOutcome.UNKNOWN})


def renew_grants(
    tenures: Sequence[Tenure], grant: Callable[[Tenure], OrderOutcome]
) -> dict[Tenure, OrderOutcome]:
    """Grant all ranges once more, and those without an answer twice.

    An upstream that leaves some orders unanswered still takes the others:
    each range has its own chance in every round, and a slow one holds up
    at most one of the workers. One that can not be reached at all is given
    up at once.

    Parameters
    ----------
    tenures : sequence of Tenure
        What it owns.
    grant : callable
        Gives one order and returns what became of it.

    Returns
    -------
    dict
        What became of each range, those never tried left out.
    """
    taken: dict[Tenure, OrderOutcome] = {}

    def work(tenure: Tenure) -> None:
        if OrderOutcome.UNSENT not in taken.values():
            taken[tenure] = grant(tenure)

    pool = Pool(_WORKERS)
    pool.map(work, tenures)
    pool.map(work, [each for each in tenures if taken.get(each) in _RETRIED])
    return taken
