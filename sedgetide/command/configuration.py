"""Reading and changing the operators' configuration in the store."""

from typing import Any
import uuid

import msgspec

from sedgetide.backends.store import Store
from sedgetide.coding.checking import describe_value
from sedgetide.coding.checking import Problem
from sedgetide.coding.decoding import decode_json
from sedgetide.coding.text import check_change
from sedgetide.coding.text import check_text
from sedgetide.coding.values import decode_assignment
from sedgetide.coding.values import decode_text
from sedgetide.coding.values import encode_text
from sedgetide.coding.values import StoredText
from sedgetide.core.configuration.records import build_assignment_key
from sedgetide.core.configuration.records import CONFIGURATION_KEY
from sedgetide.core.configuration.services import Text
from sedgetide.core.configuration.services import UpstreamState
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import InputError
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreConflict
from sedgetide.core.errors import StoreError
from sedgetide.core.identifiers import ChangeId
from sedgetide.core.identifiers import DataCentre
from sedgetide.core.identifiers import NO_REVISION
from sedgetide.core.identifiers import Revision
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.ownership.assignment import EMPTY_ASSIGNMENT
from sedgetide.core.ownership.keyspace import find_shard


class CurrentConfiguration(msgspec.Struct, frozen=True):
    """The current configuration and its revision."""

    revision: Revision
    content: str


def _make_error(problems: list[Problem]) -> InputError:
    lines = "\n".join(str(problem) for problem in sorted(problems))
    return InputError(ErrorCode.BAD_TEXT, Step.CHECK, "", lines)


def parse_text(content: bytes) -> Text:
    """Parse and validate a configuration.

    Raises
    ------
    InputError
        With one line for each problem.
    """
    text, problems = check_text(content)
    if text is None:
        raise _make_error(problems)
    return text


def read_text(store: Store) -> CurrentConfiguration:
    """Return the current configuration, empty at revision zero if none."""
    record = store.read(CONFIGURATION_KEY)
    if record is None:
        return CurrentConfiguration(NO_REVISION, "")
    return CurrentConfiguration(
        record.revision, decode_text(record.value).text
    )


def require_text(store: Store) -> Text:
    """Return the current configuration, parsed and validated.

    Raises
    ------
    InputError
        If there is none.
    """
    return parse_text(read_text(store).content.encode())


def read_assignment(store: Store, data_centre: DataCentre) -> Assignment:
    """Return the assignment of a data centre, empty if it has none."""
    record = store.read(build_assignment_key(data_centre))
    if record is None:
        return EMPTY_ASSIGNMENT
    return decode_assignment(record.value)


def apply_text(store: Store, content: bytes, base: Revision) -> Revision:
    """Apply a configuration if the current one still has the base revision.

    Parameters
    ----------
    store : Store
        Store of the configuration.
    content : bytes
        New configuration.
    base : Revision
        Revision that the edit started from; zero for the first
        configuration.

    Returns
    -------
    Revision
        Revision of the new configuration.

    Raises
    ------
    InputError
        If the configuration is invalid or changes immutable fields.
    StoreConflict
        If it was changed concurrently; the error has both revisions.
    StoreError
        If the store gave no response, so that the outcome may be unknown.
    """
    text = parse_text(content)
    current = read_text(store)
    if current.revision != base:
        raise StoreConflict(
            Step.WRITE, CONFIGURATION_KEY, base, current.revision
        )
    if current.content:
        problems = check_change(parse_text(current.content.encode()), text)
        if problems:
            raise _make_error(problems)
    stored = StoredText(ChangeId(uuid.uuid4().hex), content.decode())
    return _swap_text(store, stored, base)


def _swap_text(store: Store, stored: StoredText, base: Revision) -> Revision:
    try:
        return store.swap(CONFIGURATION_KEY, encode_text(stored), base)
    except StoreConflict:
        raise
    except StoreError as error:
        if error.code is not ErrorCode.STORE_UNCERTAIN:
            raise
    # The response was lost, possibly after the change took effect. The
    # change id distinguishes this change from a concurrent one.
    record = store.read(CONFIGURATION_KEY)
    if record is None or record.revision == base:
        raise StoreError(
            ErrorCode.STORE_UNCERTAIN,
            Step.WRITE,
            CONFIGURATION_KEY,
            "no response, and the store still has the base revision",
        )
    if decode_text(record.value).change_id == stored.change_id:
        return record.revision
    raise StoreConflict(Step.WRITE, CONFIGURATION_KEY, base, record.revision)


def _apply_document(
    store: Store, document: dict[str, Any], base: Revision
) -> Revision:
    content = msgspec.json.format(msgspec.json.encode(document), indent=2)
    return apply_text(store, content, base)


def pin_shard(
    store: Store, service_name: str, key: str, upstream: str
) -> Revision:
    """Pin the shard of a key to an upstream in the current configuration.

    Raises
    ------
    InputError
        If the service has no keys or the upstream cannot own the shard.
    """
    current = read_text(store)
    text = parse_text(current.content.encode())
    service = text.find_service(service_name)
    if service is None or not service.keyed:
        known = ", ".join(each.name for each in text.services if each.keyed)
        raise _make_error(
            [
                Problem(
                    "service", describe_value(service_name), f"one of {known}"
                )
            ]
        )
    shard = find_shard(key, service.shards)
    document = decode_json(current.content)
    for row in document["services"]:
        if row["name"] == service_name:
            pins = [p for p in row.get("pins", ()) if p["shard"] != shard]
            row["pins"] = [*pins, {"shard": shard, "upstream": upstream}]
    return _apply_document(store, document, current.revision)


def set_upstream_state(
    store: Store, name: str, state: UpstreamState
) -> Revision:
    """Change the state of an upstream in the current configuration.

    Raises
    ------
    InputError
        If no upstream has the name.
    """
    current = read_text(store)
    document = decode_json(current.content or "{}")
    names = []
    for service in document.get("services", ()):
        for upstream in service["upstreams"]:
            names.append(upstream["name"])
            if upstream["name"] == name:
                upstream["state"] = state.value
    if name not in names:
        raise _make_error(
            [
                Problem(
                    "upstream",
                    describe_value(name),
                    "one of " + ", ".join(names),
                )
            ]
        )
    return _apply_document(store, document, current.revision)
