"""Renewal of the grants of all ranges that an upstream owns."""

from collections.abc import Callable
from collections.abc import Sequence

from gevent.pool import Pool

from sedgetide.core.ownership.ranges import Tenure
from sedgetide.daemons._orderclient import OrderOutcome

_WORKERS = 3
_RETRIED = frozenset({OrderOutcome.UNKNOWN, OrderOutcome.BLOCKED})


def renew_grants(
    tenures: Sequence[Tenure], grant: Callable[[Tenure], OrderOutcome]
) -> dict[Tenure, OrderOutcome]:
    """Renew the grants of all ranges, with one retry of unanswered ones.

    Those that found no free connection are tried again, too.

    An upstream that doesn't answer some orders may still answer the others.
    So each range is tried in every round, and a slow one blocks at most one
    of the workers. The round ends if the upstream can't be reached at all.

    Parameters
    ----------
    tenures : sequence of Tenure
        Ranges that the upstream owns.
    grant : callable
        Sends the grant of one range and returns its outcome.

    Returns
    -------
    dict
        Outcome for each range that was tried.
    """
    taken: dict[Tenure, OrderOutcome] = {}

    def work(tenure: Tenure) -> None:
        if OrderOutcome.UNSENT not in taken.values():
            taken[tenure] = grant(tenure)

    pool = Pool(_WORKERS)
    pool.map(work, tenures)
    pool.map(work, [each for each in tenures if taken.get(each) in _RETRIED])
    return taken
