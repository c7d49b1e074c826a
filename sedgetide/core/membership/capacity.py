"""Capacity of a host for work that one host does for all others."""

import msgspec

# Cores; leading ninety hosts takes up to a third of one.
_SUFFICIENT_CORES = 1.0
# Megabits per second. An answer of 0.5 MB to a caller occupies such a link for
# less than 0.1 s, after which grants, which time out after 0.6 s, pass.
_SUFFICIENT_LINK_MBPS = 50.0


def has_broad_link(mbps: float) -> bool:
    """Return whether a link can carry large bodies beside other traffic."""
    return mbps >= _SUFFICIENT_LINK_MBPS


class HostCapacity(msgspec.Struct, frozen=True, array_like=True):
    """Processor time and network bandwidth of a host.

    Parameters
    ----------
    processors : float
        Processor time available to the host, in cores.
    link_mbps : float
        Bandwidth of its network link, in megabits per second.
    """

    processors: float = 1.0
    link_mbps: float = 1000.0

    def find_shortfall(self) -> float:
        """Return the missing share of the resource that is scarcest.

        Returns
        -------
        float
            Zero if the host can lead or lend; at most one.
        """
        return max(
            0.0,
            1.0 - self.processors / _SUFFICIENT_CORES,
            1.0 - self.link_mbps / _SUFFICIENT_LINK_MBPS,
        )


SUFFICIENT_CAPACITY = HostCapacity()
