"""Notification of greenlets about changes."""

from gevent.event import Event


class ChangeSignal:
    """Lets any number of greenlets wait for the next change."""

    def __init__(self) -> None:
        self._event = Event()

    def notify_all(self) -> None:
        """Wake up all waiting greenlets."""
        event, self._event = self._event, Event()
        event.set()

    def wait(self, seconds: float) -> bool:
        """Wait for the next change; return False after a timeout."""
        return self._event.wait(max(0.0, seconds))
