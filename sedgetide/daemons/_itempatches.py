"""Newer versions of an item as patches of the version that a host has.

The owners of a large service are some kilobytes, and a change touches a few
rows. Sent whole to ninety hosts, each change would be more than all
requests of that second take between data centres.
"""

from collections.abc import Sequence
import zlib

from sedgetide.backends.leasestore import Item
from sedgetide.coding.messages import Patch
from sedgetide.core.history import Position

# Shorter values gain less than a patch costs.
_MIN_SIZE = 1024
# What deflate looks back on; a longer base would be forgotten half.
_MAX_SIZE = 32 * 1024
_MAX_VERSIONS = 4
_COMPRESSION_LEVEL = 6


def _find_base(versions: Sequence[Item], known: Position) -> Item | None:
    """Return the version that a host has which knows up to a position."""
    older = [each for each in versions if each.position <= known]
    return older[-1] if older else None


class PatchCache:
    """The last versions of items, and the patches between them.

    A patch is made once, however many hosts get it.
    """

    def __init__(self) -> None:
        self._versions: dict[str, list[Item]] = {}
        self._patches: dict[tuple[str, Position, Position], Patch] = {}

    def note(self, item: Item) -> None:
        """Remember a version, if patches of it are worth while."""
        size = len(item.value or b"")
        if not _MIN_SIZE <= size <= _MAX_SIZE:
            self._versions.pop(item.key, None)
            return
        versions = self._versions.setdefault(item.key, [])
        if not versions or versions[-1].position < item.position:
            versions.append(item)
            del versions[:-_MAX_VERSIONS]
            self._forget_patches(item.key)

    def _forget_patches(self, key: str) -> None:
        self._patches = {
            cache_key: patch
            for cache_key, patch in self._patches.items()
            if cache_key[0] != key
        }

    def find(self, item: Item, known: Position) -> Patch | None:
        """Return a patch to an item for a host; None to send it whole.

        Parameters
        ----------
        item : Item
            Newest version, noted before.
        known : Position
            Up to which the host knows the store.
        """
        base = _find_base(self._versions.get(item.key, ()), known)
        if base is None or base.position == item.position:
            return None
        cache_key = (item.key, base.position, item.position)
        patch = self._patches.get(cache_key)
        if patch is None:
            patch = make_patch(base, item)
            self._patches[cache_key] = patch
        return patch


def make_patch(base: Item, item: Item) -> Patch:
    """Return what turns one version of an item into another."""
    deflate = zlib.compressobj(_COMPRESSION_LEVEL, zdict=base.value)
    data = deflate.compress(item.value) + deflate.flush()
    return Patch(item.key, item.position, base.position, data)


def apply_patch(base: Item | None, patch: Patch) -> Item | None:
    """Return the version that a patch leads to.

    Returns
    -------
    Item or None
        None when the patch is of another version than the base.
    """
    if base is None or base.position != patch.base or base.value is None:
        return None
    try:
        value = zlib.decompressobj(zdict=base.value).decompress(patch.data)
    except zlib.error:
        return None
    return Item(patch.key, patch.position, value)
