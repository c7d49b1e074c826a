"""What an order client learns of this host's path to its upstream."""

import abc
from typing import Protocol

from sedgetide.core.membership.directory import RegisteredUpstream


class PathObserver(abc.ABC):
    """Records what attempts to send orders say about a path."""

    @abc.abstractmethod
    def note_connected(self) -> None:
        """Record that a connection was opened."""

    @abc.abstractmethod
    def note_missed(self) -> None:
        """Record that no connection could be opened."""

    @abc.abstractmethod
    def note_answer(self) -> None:
        """Record that the upstream answered."""

    @abc.abstractmethod
    def note_silence(self) -> None:
        """Record that the upstream has not answered in time."""


class _Monitor(Protocol):
    def note_connected(self, upstream: RegisteredUpstream) -> None: ...

    def note_missed(self, upstream: RegisteredUpstream) -> None: ...

    def note_answer(self, upstream: RegisteredUpstream) -> None: ...

    def suspect(self, upstream: RegisteredUpstream) -> None: ...


class UpstreamPath(PathObserver):
    """Passes observations of one upstream on to the monitor of all paths.

    Parameters
    ----------
    monitor : PathMonitor
        Monitor of this host's paths.
    upstream : RegisteredUpstream
        The upstream.
    """

    def __init__(
        self, monitor: _Monitor, upstream: RegisteredUpstream
    ) -> None:
        self._monitor = monitor
        self._upstream = upstream

    def note_connected(self) -> None:
        self._monitor.note_connected(self._upstream)

    def note_missed(self) -> None:
        self._monitor.note_missed(self._upstream)

    def note_answer(self) -> None:
        self._monitor.note_answer(self._upstream)

    def note_silence(self) -> None:
        self._monitor.suspect(self._upstream)


class IgnoredPath(PathObserver):
    """Records nothing."""

    def note_connected(self) -> None:
        pass

    def note_missed(self) -> None:
        pass

    def note_answer(self) -> None:
        pass

    def note_silence(self) -> None:
        pass
