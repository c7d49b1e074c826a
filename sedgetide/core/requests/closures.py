"""Connections that a server closes because of what it received on them."""

import enum

import msgspec


class CloseReason(enum.Enum):
    """Why a server has closed a connection.

    Attributes
    ----------
    MALFORMED
        The bytes are no request.
    HEAD_TOO_LONG
        The head, or the trailers, are longer than allowed.
    BODY_TOO_LONG
        The body is longer than allowed.
    FRAMING_TOO_LONG
        The lines of chunks are out of proportion to the body.
    TOO_SLOW
        A request was not complete in time.
    UNREAD
        Responses were not read in time.
    DISPLACED
        It was idle, and there were as many connections as allowed.
    """

    MALFORMED = "malformed"
    HEAD_TOO_LONG = "head-too-long"
    BODY_TOO_LONG = "body-too-long"
    FRAMING_TOO_LONG = "framing-too-long"
    TOO_SLOW = "too-slow"
    UNREAD = "unread"
    DISPLACED = "displaced"


class Closure(msgspec.Struct, frozen=True):
    """One connection that was closed.

    Parameters
    ----------
    reason : CloseReason
        Why it was closed.
    peer : str
        IP address of the other side.
    received : int
        Bytes received on it.
    requests : int
        Complete requests received on it.
    """

    reason: CloseReason
    peer: str
    received: int
    requests: int
