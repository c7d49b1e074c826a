"""Interface through which the admin port inspects a process."""

import abc
from typing import Any

from sedgetide.core.identifiers import Fingerprint


class Inspectable(abc.ABC):
    """A process that reports its readiness and state."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether the process should get new requests."""

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        """Lift the quarantine of a request; return whether it was suspect.

        Processes without a quarantine return False.
        """
        return False

    @abc.abstractmethod
    def dump_state(self) -> dict[str, Any]:
        """Return the state as built-in types that JSON can encode."""
