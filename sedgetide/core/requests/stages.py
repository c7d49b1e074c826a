"""What a request is waiting for on its way to an answer."""

import enum


class Stage(enum.Enum):
    """What a request is waiting for; the values are written to logs.

    Attributes
    ----------
    ROUTING
        Nothing: the host decides where to send it.
    TARGET
        An upstream that may run it, such as an owner of its key.
    PLACE
        A place at its upstream, granted by the lender.
    WINDOW
        Room in the host's own window of its upstream.
    TRIAL
        Its turn among the copies of a suspect request.
    CONNECTION
        A connection to its upstream.
    ANSWER
        The answer of its upstream; it may be running.
    PEER
        The result of a host that it was passed on to; it may be running.
    """

    ROUTING = "routing"
    TARGET = "target"
    PLACE = "place"
    WINDOW = "window"
    TRIAL = "trial"
    CONNECTION = "connection"
    ANSWER = "answer"
    PEER = "peer"
