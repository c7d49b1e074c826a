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
    UNHELD
        It has no grant of the keys: it answered a release before they were to
        move, or the former leader reported that it holds none.
    EXPIRED
        Every grant that it may have received has expired.
    """

    ANSWERED = "answered"
    OTHER_INSTANCE = "other-instance"
    UNHELD = "unheld"
    EXPIRED = "expired"
