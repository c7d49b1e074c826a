"""Durations that guarantee single ownership, and values derived from them."""

import msgspec


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations in seconds; identical on all hosts of a data centre.

    Parameters
    ----------
    heartbeat : float
        Interval of heartbeats between processes and of grant renewals.
    silence : float
        Time without an answer after which a peer or upstream is lost.
    proof_life : float
        Maximum age of a valid proof of authority.
    grant_life : float
        Lifetime of a grant, counted by the upstream from its own token.
    clock_error : float
        Maximum relative difference between the rates of two monotonic
        clocks.
    margin : float
        Added to each wait to allow for timer granularity.
    """

    heartbeat: float = 0.15
    silence: float = 0.45
    proof_life: float = 0.4
    grant_life: float = 0.6
    clock_error: float = 0.01
    margin: float = 0.02

    def sum_takeover_wait(self, longest_request: float = 0.0) -> float:
        """Return how long to wait after a majority knows of a release.

        Until ``proof_life`` has passed, a host may renew a grant based on an
        older proof; that grant is then valid for ``grant_life``. The clocks
        of the two hosts may drift apart in that time.

        Parameters
        ----------
        longest_request : float
            Longest deadline of a request. It is added for an upstream that
            does not check the sender of an order, since it would also run a
            request that was sent just before its grant expired.
        """
        wait = self.proof_life + self.grant_life + longest_request
        return wait * (1.0 + self.clock_error) + self.margin
