"""What a process tells about itself."""

import abc
from typing import Any

from sedgetide.core.identifiers import Fingerprint


class Inspectable(abc.ABC):
    """A process that can tell about itself."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the process should get new work."""

    def lift_quarantine(self, fingerprint: Fingerprint) -> bool:
        """Let a request through that is refused; return whether it was.

        Processes without a quarantine refuse none.
        """
        return False

    @abc.abstractmethod
    def dump_state(self) -> dict[str, Any]:
        """Return the state as built-in types that JSON can hold."""
