"""Rendezvous hashing: a stable choice among hosts without a table."""

from collections.abc import Iterable

import xxhash


def _weigh(key: str, candidate: str) -> tuple[int, str]:
    data = f"{key}\0{candidate}".encode()
    return xxhash.xxh3_64_intdigest(data), candidate


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates for a key, best first.

    Parameters
    ----------
    key : str
        What is to be placed.
    candidates : iterable of str
        Names to choose from; their order has no influence.

    Returns
    -------
    list of str
        All candidates. Removing one leaves the order of the others as it
        was, so a lost host moves only what it held.

    Examples
    --------
    >>> rank_candidates("a", ["x", "y"]) == rank_candidates("a", ["y", "x"])
    True
    """
    return sorted(candidates, key=lambda name: _weigh(key, name), reverse=True)


def choose_candidate(key: str, candidates: Iterable[str]) -> str | None:
    """Return the best candidate for a key, or None when there is none."""
    return max(candidates, key=lambda name: _weigh(key, name), default=None)
