"""Kinds of proof that an upstream no longer holds keys."""

import enum


class StopProof(enum.Enum):
    """Why an upstream counts as no longer holding keys.

    Attributes
    ----------
    ANSWERED
        It answered a release of the keys.
    OTHER_INSTANCE
        Another upstream answered an order at its address.
    REFUSED
        A connection to its address was refused.
    EXPIRED
        Every grant that it may have received has expired.
    ADDRESS_REUSED
        The registry shows a newer upstream at its address.
    """

    ANSWERED = "answered"
    OTHER_INSTANCE = "other-instance"
    REFUSED = "refused"
    EXPIRED = "expired"
    ADDRESS_REUSED = "address-reused"
