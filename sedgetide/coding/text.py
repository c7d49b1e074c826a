"""Validation of the operators' configuration, reporting all errors.

The configuration is stored as the text that the operators have written.
"""

from collections.abc import Iterator
import itertools

import msgspec

from sedgetide.coding.addresses import check_address
from sedgetide.coding.checking import describe_value
from sedgetide.coding.checking import find_problems
from sedgetide.coding.checking import Problem
from sedgetide.coding.decoding import decode_json
from sedgetide.core.configuration.services import KEY_SEGMENT
from sedgetide.core.configuration.services import Service
from sedgetide.core.configuration.services import Text
from sedgetide.core.identifiers import Shard
from sedgetide.core.ownership.keyspace import find_home

MAX_TEXT_BYTES = 512 * 1024
# Problems of the format that are told. A text of 512 KB may have 170,000, and
# take 5 s to describe, during which the whole process stands.
_MAX_PROBLEMS = 1000


def _find_duplicates(
    names: Iterator[tuple[str, str]], what: str
) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for path, name in names:
        if name in seen:
            yield Problem(
                path,
                describe_value(name),
                f"a unique {what}, also used at {seen[name]}",
            )
        seen.setdefault(name, path)


def _check_names(text: Text) -> Iterator[Problem]:
    services = list(enumerate(text.services))
    yield from _find_duplicates(
        ((f"$.services[{i}].name", s.name) for i, s in services),
        "service name",
    )
    yield from _find_duplicates(
        ((f"$.services[{i}].prefix", s.prefix) for i, s in services),
        "prefix",
    )
    upstreams = [
        (f"$.services[{i}].upstreams[{j}]", upstream)
        for i, service in services
        for j, upstream in enumerate(service.upstreams)
    ]
    yield from _find_duplicates(
        ((f"{path}.name", each.name) for path, each in upstreams),
        "upstream name",
    )
    yield from _find_duplicates(
        ((f"{path}.address", each.address) for path, each in upstreams),
        "address",
    )
    yield from _find_duplicates(
        ((f"$.data_centres[{i}]", n) for i, n in enumerate(text.data_centres)),
        "data centre",
    )


def _check_known(value: str, known: list[str], path: str) -> Iterator[Problem]:
    if value not in known:
        yield Problem(
            path, describe_value(value), "one of " + ", ".join(known)
        )


def _check_service(
    service: Service, text: Text, path: str
) -> Iterator[Problem]:
    centres = list(text.data_centres)
    if service.prefix == "" or KEY_SEGMENT in service.prefix:
        yield Problem(
            f"{path}.prefix",
            describe_value(service.prefix),
            "a path of one or more segments without {key}",
        )
    for index, home in enumerate(service.homes):
        yield from _check_known(home, centres, f"{path}.homes[{index}]")
    for index, upstream in enumerate(service.upstreams):
        item_path = f"{path}.upstreams[{index}]"
        yield from _check_known(
            upstream.data_centre, centres, f"{item_path}.data_centre"
        )
        yield from check_address(upstream.address, f"{item_path}.address")
    names = [each.name for each in text.services]
    for index, needed in enumerate(service.depends_on):
        yield from _check_known(needed, names, f"{path}.depends_on[{index}]")
    if service.keyed and (service.shards is None or not service.homes):
        yield Problem(
            f"{path}.keyed", "true", "true only with shards and homes"
        )


def _check_routes(
    service: Service, text: Text, path: str
) -> Iterator[Problem]:
    classes = [each.name for each in text.classes]
    for index, route in enumerate(service.routes):
        item_path = f"{path}.routes[{index}]"
        yield from _check_known(
            route.priority_class, classes, f"{item_path}.class"
        )
        keys = route.path.split("/").count(KEY_SEGMENT)
        if keys != int(service.keyed):
            yield Problem(
                f"{item_path}.path",
                describe_value(route.path),
                f"a path with {int(service.keyed)} segments {{key}}",
            )
        if not service.keyed and not route.idempotent:
            # Without an owner, no single process remembers which operations
            # have run, so a retried operation could run twice.
            yield Problem(
                f"{item_path}.idempotent", "false", "true, or a keyed service"
            )


def _check_pins(service: Service, path: str) -> Iterator[Problem]:
    if not service.keyed or not service.homes or service.shards is None:
        return
    centres = {each.name: each.data_centre for each in service.upstreams}
    for index, pin in enumerate(service.pins):
        item_path = f"{path}.pins[{index}]"
        if pin.shard >= service.shards:
            yield Problem(
                f"{item_path}.shard",
                str(pin.shard),
                f"a shard from 0 to {service.shards - 1}",
            )
            continue
        home = find_home(Shard(pin.shard), service.homes)
        if centres.get(pin.upstream) != home:
            yield Problem(
                f"{item_path}.upstream",
                describe_value(pin.upstream),
                f"an upstream of {service.name} in {home}",
            )


def _find_cycles(text: Text) -> Iterator[Problem]:
    needs = {each.name: each.depends_on for each in text.services}
    for index, service in enumerate(text.services):
        reached: set[str] = set()
        pending = list(service.depends_on)
        while pending:
            name = pending.pop()
            if name not in reached:
                reached.add(name)
                pending.extend(needs.get(name, ()))
        if service.name in reached:
            yield Problem(
                f"$.services[{index}].depends_on",
                describe_value(list(service.depends_on)),
                "a list that does not lead back to the service in a cycle",
            )


def check_text(content: bytes) -> tuple[Text | None, list[Problem]]:
    """Parse and validate a configuration.

    Parameters
    ----------
    content : bytes
        JSON document.

    Returns
    -------
    text : Text or None
        The configuration, None if it has problems.
    problems : list of Problem
        All errors found, with their paths; of the format, the first 1000.
    """
    if len(content) > MAX_TEXT_BYTES:
        expected = f"at most {MAX_TEXT_BYTES} bytes"
        return None, [Problem("$", f"{len(content)} bytes", expected)]
    try:
        document = decode_json(content)
    except msgspec.DecodeError as error:
        return None, [Problem("$", "invalid JSON", f"JSON: {error}")]
    found = find_problems(document, Text)
    problems = list(itertools.islice(found, _MAX_PROBLEMS))
    if problems:
        return None, problems
    text = msgspec.convert(document, Text)
    problems = [*_check_names(text), *_find_cycles(text)]
    for index, service in enumerate(text.services):
        path = f"$.services[{index}]"
        problems.extend(_check_service(service, text, path))
        problems.extend(_check_routes(service, text, path))
        problems.extend(_check_pins(service, path))
    return (None if problems else text), problems


def check_change(old: Text, new: Text) -> list[Problem]:
    """Return the changes of a new configuration to immutable fields.

    Each process computes the shard of a key and the shard's home from the
    configuration that it has. If the fields changed, a key could have two
    owners while the new configuration spreads.
    """
    problems = []
    for index, service in enumerate(new.services):
        before = old.find_service(service.name)
        if before is None:
            continue
        for field in ("keyed", "shards", "homes"):
            was, now = getattr(before, field), getattr(service, field)
            if was != now:
                problems.append(
                    Problem(
                        f"$.services[{index}].{field}",
                        describe_value(now),
                        f"{describe_value(was)}, which is immutable for "
                        f"service {service.name}",
                    )
                )
    return problems
