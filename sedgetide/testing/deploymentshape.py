"""Shape of a deployment that a fleet of real processes takes."""

import msgspec

from sedgetide.core.constraints import PositiveFloat
from sedgetide.core.constraints import PositiveInt


class DeploymentShape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Number of processes in each data centre, and their settings.

    Parameters
    ----------
    hosts, keyed, plain : tuple of int
        Number of hosts, of upstreams that own keys, and of other ones, by
        data centre.
    slots : int
        Requests that an upstream runs concurrently.
    heartbeat : float
        Seconds between two heartbeats of an upstream.
    routes : int
        Number of routes in the first configuration.
    reuses_names : bool
        Whether an upstream that is started again keeps its name.
    echoes_orders : bool
        Whether upstreams echo the id of an order in its answer.
    work : float
        Mean seconds for which an upstream works on a request.
    rate : float
        Requests per second of all callers together.
    """

    hosts: tuple[int, ...]
    keyed: tuple[int, ...]
    plain: tuple[int, ...]
    slots: PositiveInt = 4
    heartbeat: PositiveFloat = 1.5
    routes: PositiveInt = 3
    reuses_names: bool = False
    echoes_orders: bool = True
    work: PositiveFloat = 0.22
    rate: PositiveFloat = 160.0

    @property
    def data_centres(self) -> int:
        """Number of data centres."""
        return len(self.hosts)


RFI_GATEWAY = DeploymentShape(
    hosts=(3, 3, 1, 1), keyed=(5, 3, 3, 4), plain=(3, 3, 2, 1)
)


def parse_shape(text: str) -> DeploymentShape:
    """Read a shape from JSON text.

    Raises
    ------
    ValueError
        If the text isn't a shape, or its data centres differ in number.
    """
    shape = msgspec.json.decode(text, type=DeploymentShape)
    counts = {len(shape.hosts), len(shape.keyed), len(shape.plain)}
    if len(counts) > 1:
        raise ValueError(
            f"hosts {shape.hosts}, keyed {shape.keyed}, plain {shape.plain}: "
            "one number for each data centre is accepted"
        )
    return shape


def list_places(counts: tuple[int, ...]) -> list[int]:
    """Return the data centre of each process."""
    return [
        centre for centre, count in enumerate(counts) for _ in range(count)
    ]
