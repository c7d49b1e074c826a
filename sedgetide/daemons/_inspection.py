"""What a process tells about itself."""

import abc
from typing import Any


class Inspectable(abc.ABC):
    """A process that can tell about itself."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Tell whether the process should get new work."""

    @abc.abstractmethod
    def dump_state(self) -> dict[str, Any]:
        """Return the state as built-in types that JSON can hold."""
