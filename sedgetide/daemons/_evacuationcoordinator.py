"""Evacuation of data centres, coordinated by the leader."""

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import IncarnationName
from sedgetide.core.identifiers import ServiceName
from sedgetide.core.ownership.evacuation import EvacuationPacer
from sedgetide.core.ownership.ranges import RangeTable
from sedgetide.daemons._deployment import DeploymentState
from sedgetide.runtime.events import Event
from sedgetide.runtime.events import log_event


class EvacuationCoordinator:
    """Limits the pace of evacuations and logs when they are complete.

    An evacuation moves all ranges out of a data centre at the request of
    operators.

    Parameters
    ----------
    deployment : DeploymentState
        Requested evacuations and tables of owners.
    """

    def __init__(self, deployment: DeploymentState) -> None:
        self._deployment = deployment
        self._pacers: dict[ServiceName, EvacuationPacer] = {}
        self._requested_since: dict[DataCentre, float] = {}
        self._empty: set[DataCentre] = set()

    def list_owners(self, table: RangeTable) -> set[IncarnationName]:
        """Return the owners whose ranges all have to move."""
        directory = self._deployment.directory
        if not directory.evacuations.list_evacuating():
            return set()
        owners = {each.owner for each in table.tenures}
        return {each for each in owners if directory.is_evacuated(each)}

    def allow(
        self,
        service: ServiceName,
        table: RangeTable,
        owners: set[IncarnationName],
        now: float,
    ) -> int:
        """Return how many more ranges of evacuated owners may start to move.

        Parameters
        ----------
        service : ServiceName
            Service whose ranges move.
        table : RangeTable
            Table of its owners.
        owners : set of IncarnationName
            Evacuated owners.
        now : float
            Own clock.
        """
        left = sum(
            1
            for each in table.tenures
            if each.owner in owners and not each.moving
        )
        directory = self._deployment.directory
        serving = all(
            directory.find_serving(each, now) is not None for each in owners
        )
        pacer = self._pacers.setdefault(service, EvacuationPacer())
        return pacer.allow(left, serving, now)

    def run_periodic(self, now: float) -> None:
        """Log once for each evacuated data centre when it owns no keys."""
        asked = self._deployment.directory.evacuations.list_evacuating()
        self._empty.intersection_update(asked)
        for name in list(self._requested_since):
            if name not in asked:
                del self._requested_since[name]
        for name in asked:
            since = self._requested_since.setdefault(name, now)
            if name not in self._empty and not self._owns_keys(name):
                self._empty.add(name)
                log_event(
                    Event.EVACUATED,
                    data_centre=name,
                    seconds=f"{now - since:.1f}",
                )

    def _owns_keys(self, data_centre: DataCentre) -> bool:
        directory = self._deployment.directory
        for known in self._deployment.tables.values():
            for each in known.table.tenures:
                for name in (each.owner, each.successor):
                    entry = directory.find(name)
                    if entry is not None and entry.data_centre == data_centre:
                        return True
        return False
