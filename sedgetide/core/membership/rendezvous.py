"""Rendezvous hashing: stable selection among hosts without a shared table."""

from collections.abc import Iterable

import xxhash


def _score(key: str, candidate: str) -> tuple[int, str]:
    data = f"{key}\0{candidate}".encode()
    return xxhash.xxh3_64_intdigest(data), candidate


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Rank candidates for a key, best first.

    Parameters
    ----------
    key : str
        Key to be placed.
    candidates : iterable of str
        Names to choose from, in any order.

    Returns
    -------
    list of str
        All candidates. Removing one does not change the order of the
        others, so the loss of a host only moves the keys placed on it.

    Examples
    --------
    >>> rank_candidates("a", ["x", "y"]) == rank_candidates("a", ["y", "x"])
    True
    """
    return sorted(candidates, key=lambda name: _score(key, name), reverse=True)


def choose_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Return the best candidate for a key, or None if there are none."""
    return max(candidates, key=lambda name: _score(key, name), default=None)
