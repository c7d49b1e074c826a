"""Store client that counts calls for the metrics."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeVar

from sedgetide.backends.leasestore import Item
from sedgetide.backends.leasestore import LeaseId
from sedgetide.backends.leasestore import LeaseStore
from sedgetide.backends.leasestore import Listing
from sedgetide.backends.leasestore import Write
from sedgetide.core.errors import SedgetideError
from sedgetide.core.history import Era
from sedgetide.core.history import Position
from sedgetide.daemons._hostmetrics import STORE_CALLS

AnswerT = TypeVar("AnswerT")


def _count(step: str, call: Callable[[], AnswerT]) -> AnswerT:
    try:
        answer = call()
    except SedgetideError as error:
        STORE_CALLS.labels(step, error.code.value).inc()
        raise
    STORE_CALLS.labels(step, "ok").inc()
    return answer


class InstrumentedStore(LeaseStore):
    """Forwards all calls to a store client and counts them by outcome.

    Parameters
    ----------
    store : LeaseStore
        Client that makes the calls.
    """

    def __init__(self, store: LeaseStore) -> None:
        self._store = store

    def read(self, key: str) -> Item | None:
        return _count("read", lambda: self._store.read(key))

    def list(self, prefix: str) -> Listing:
        return _count("list", lambda: self._store.list(prefix))

    def watch(self, prefix: str, since: Position, wait: float) -> Listing:
        return _count("watch", lambda: self._store.watch(prefix, since, wait))

    def transact(
        self,
        era: Era,
        expected: Mapping[str, Position],
        writes: Sequence[Write],
    ) -> Position:
        return _count(
            "transact", lambda: self._store.transact(era, expected, writes)
        )

    def open_lease(self, life: float) -> LeaseId:
        return _count("open-lease", lambda: self._store.open_lease(life))

    def renew_lease(self, lease: LeaseId) -> None:
        _count("renew-lease", lambda: self._store.renew_lease(lease))

    def end_lease(self, lease: LeaseId) -> None:
        _count("end-lease", lambda: self._store.end_lease(lease))

    def close(self) -> None:
        self._store.close()
