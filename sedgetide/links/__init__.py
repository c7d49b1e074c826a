"""Links between the project's own processes."""

from sedgetide.links._mail import Handler
from sedgetide.links._mail import Mail

__all__ = ["Handler", "Mail"]
