"""Patches from the version of an item that a host has to a newer one.

The table of owners of a large service takes some kilobytes, and a change
affects a few rows. Sent whole to ninety hosts, each change would use more
bandwidth between data centres than all requests of the same second.
"""

from collections.abc import Sequence
import zlib

from sedgetide.backends.leasestore import Item
from sedgetide.coding.messages import Patch
from sedgetide.core.history import Position

# Bytes; for shorter values a patch costs more than it saves.
_MIN_SIZE = 1024
# Bytes; the window of deflate, which uses only the end of a longer base.
_MAX_SIZE = 32 * 1024
_MAX_VERSIONS = 4
_COMPRESSION_LEVEL = 6


def _find_base(versions: Sequence[Item], known: Position) -> Item | None:
    """Return the version known to a host that is synced to a position."""
    older = [each for each in versions if each.position <= known]
    return older[-1] if older else None


class PatchCache:
    """Recent versions of items, and the patches between them.

    Each patch is computed once, however many hosts receive it.
    """

    def __init__(self) -> None:
        self._versions: dict[str, list[Item]] = {}
        self._patches: dict[tuple[str, Position, Position], Patch] = {}

    def note(self, item: Item) -> None:
        """Store a version, if its size makes patches worthwhile."""
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
        """Return a patch to an item; None if it has to be sent whole.

        Parameters
        ----------
        item : Item
            Newest version, which has been stored by :meth:`note`.
        known : Position
            Position up to which the host is synced.
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
    """Return a patch from one version of an item to another."""
    deflate = zlib.compressobj(_COMPRESSION_LEVEL, zdict=base.value)
    data = deflate.compress(item.value) + deflate.flush()
    return Patch(item.key, item.position, base.position, data)


def apply_patch(base: Item | None, patch: Patch) -> Item | None:
    """Return the result of a patch.

    Returns
    -------
    Item or None
        None if the patch was made for another base version.
    """
    if base is None or base.position != patch.base or base.value is None:
        return None
    try:
        value = zlib.decompressobj(zdict=base.value).decompress(patch.data)
    except zlib.error:
        return None
    return Item(patch.key, patch.position, value)
