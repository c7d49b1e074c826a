"""Mapping of keys to shards and of shards to data centres."""

from collections.abc import Sequence

import xxhash

from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import Shard


def find_shard(key: str, shard_count: int) -> Shard:
    """Return the shard of a key.

    Parameters
    ----------
    key : str
        Decoded key from the route.
    shard_count : int
        Number of shards of the service, fixed for its lifetime.

    Returns
    -------
    Shard
        Number from 0 to ``shard_count - 1``.
    """
    return Shard(xxhash.xxh3_64_intdigest(key.encode()) % shard_count)


def find_home(shard: Shard, homes: Sequence[DataCentre]) -> DataCentre:
    """Return the data centre whose upstreams may own a shard.

    The list is fixed for the lifetime of the service, so that a shard cannot
    belong to two data centres while a new configuration propagates.
    """
    return homes[shard % len(homes)]


def list_shards(
    data_centre: DataCentre, homes: Sequence[DataCentre], shard_count: int
) -> list[Shard]:
    """Return the shards that belong to a data centre in ascending order."""
    return [
        Shard(number)
        for number in range(shard_count)
        if find_home(Shard(number), homes) == data_centre
    ]
