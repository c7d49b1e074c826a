"""Division of keys into shards and of shards among data centres."""

from collections.abc import Sequence

import xxhash

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Shard


def find_shard(key: str, shard_count: int) -> Shard:
    """Return the shard of a key.

    Parameters
    ----------
    key : str
        Key as it stands in the route, decoded.
    shard_count : int
        Number of shards of the service, fixed for its life.

    Returns
    -------
    Shard
        From 0 to ``shard_count - 1``.
    """
    return Shard(xxhash.xxh3_64_intdigest(key.encode()) % shard_count)


def find_home(shard: Shard, homes: Sequence[DataCentre]) -> DataCentre:
    """Return the data centre whose upstreams may own a shard.

    The list is fixed for the life of the service, so that a shard can not
    have two homes during the spread of a new text.
    """
    return homes[shard % len(homes)]


def list_shards(
    data_centre: DataCentre, homes: Sequence[DataCentre], shard_count: int
) -> list[Shard]:
    """Return the shards whose home is a data centre, in rising order."""
    return [
        Shard(number)
        for number in range(shard_count)
        if find_home(Shard(number), homes) == data_centre
    ]
