"""Checks of the journals in which upstreams record what they ran."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})


def find_repeated_runs(journal: Iterable[dict[str, Any]]) -> list[str]:
    """Return non-idempotent operations that ran more than once.

    Parameters
    ----------
    journal : iterable of dict
        Journal entries of all upstreams.
    """
    counts = collections.Counter(
        each["operation"]
        for each in journal
        if each["method"] not in IDEMPOTENT_METHODS
    )
    return sorted(name for name, count in counts.items() if count > 1)


def find_two_owners(journal: Sequence[dict[str, Any]]) -> list[str]:
    """Return violations of single ownership.

    Only one upstream may run operations of a shard in an epoch, and once an
    operation of a higher epoch has begun, none of a lower one may begin. All
    upstreams use the clock of the same machine.
    """
    problems = []
    owners: dict[tuple[str, int], str] = {}
    newest: dict[str, int] = {}
    for each in sorted(journal, key=lambda each: each["began"]):
        shard, epoch = each["shard"], each["epoch"]
        if not shard:
            continue
        owner = owners.setdefault((shard, epoch), each["upstream"])
        if owner != each["upstream"]:
            problems.append(
                f"{shard} at epoch {epoch}: {owner} and {each['upstream']}"
            )
        if epoch < newest.get(shard, 0):
            problems.append(
                f"{shard}: epoch {epoch} at {each['upstream']} after "
                f"epoch {newest[shard]}"
            )
        newest[shard] = max(epoch, newest.get(shard, 0))
    return problems


def find_false_refusals(
    journal: Iterable[dict[str, Any]], refused: Iterable[str]
) -> list[str]:
    """Return operations that ran although the outcome was ``not-run``."""
    ran = {each["operation"] for each in journal}
    return sorted(ran & set(refused))


def find_unrecorded(
    journal: Iterable[dict[str, Any]], answered: Iterable[str]
) -> list[str]:
    """Return operations that were answered but never ran."""
    ran = {each["operation"] for each in journal}
    return sorted(set(answered) - ran)
