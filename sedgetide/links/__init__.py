"""Message transport between sedgetide processes."""

from sedgetide.links._transport import Handler
from sedgetide.links._transport import Transport

__all__ = ["Handler", "Transport"]
