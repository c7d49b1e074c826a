"""Durations on which single ownership rests, and the sums made of them."""

import msgspec


class Timing(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Durations in seconds; equal on all hosts of a data centre.

    Parameters
    ----------
    heartbeat : float
        Interval of heartbeats between processes and of grant renewals.
    silence : float
        A peer or upstream that gave no answer for this long is lost.
    proof_life : float
        Age up to which a proof of authority counts.
    grant_life : float
        Life of a grant, counted by the upstream from its own token.
    clock_error : float
        Largest share by which two monotonic clocks' rates may differ.
    margin : float
        Added to each wait for timer granularity.
    """

    heartbeat: float = 0.15
    silence: float = 0.45
    proof_life: float = 0.4
    grant_life: float = 0.6
    clock_error: float = 0.01
    margin: float = 0.02

    def sum_takeover_wait(self, longest_request: float = 0.0) -> float:
        """Return how long to wait after a majority knows of a release.

        Until ``proof_life`` has passed a host may renew on an older proof;
        the grant it gave then lives for ``grant_life``. Clocks of the two
        hosts may run apart in that time.

        Parameters
        ----------
        longest_request : float
            Longest deadline of a request; added for an upstream that does
            not check who gives it an order, since it would also obey a
            request that was sent just before its grant ran out.
        """
        wait = self.proof_life + self.grant_life + longest_request
        return wait * (1.0 + self.clock_error) + self.margin
