"""What an upstream asks of those who send to it, in its answers."""

import msgspec


class Pushback(msgspec.Struct, frozen=True):
    """What one answer says of the upstream that wrote it.

    Parameters
    ----------
    limit : float or None
        Requests a second that it takes from all hosts together; None when
        it names no limit.
    leaving : bool
        Whether it is about to end.
    rest : float or None
        Seconds for which it wants nothing from the host that it turned
        away; None when it did not ask for that.
    problems : tuple of str
        What could not be read, and what is accepted instead.
    """

    limit: float | None = None
    leaving: bool = False
    rest: float | None = None
    problems: tuple[str, ...] = ()
