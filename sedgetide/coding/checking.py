"""Check of a JSON document against Structs, with every error at once."""

from collections.abc import Iterator
from typing import Any
from typing import get_args
from typing import get_origin

import msgspec

_SHOWN_LENGTH = 60


class Problem(msgspec.Struct, frozen=True, order=True):
    """One error in a document.

    Parameters
    ----------
    path : str
        Where, as ``$.services[0].name``.
    value : str
        What stands there, as JSON, shortened.
    accepted : str
        What would be accepted.
    """

    path: str
    value: str
    accepted: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}: accepted is {self.accepted}"


def describe_value(value: object) -> str:
    """Return a value as short JSON."""
    shown = msgspec.json.encode(value).decode()
    if len(shown) > _SHOWN_LENGTH:
        return shown[:_SHOWN_LENGTH] + "..."
    return shown


def _find_struct(kind: Any) -> type[msgspec.Struct] | None:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    return None


def _find_item(kind: Any) -> Any:
    if get_origin(kind) not in (list, tuple):
        return None
    return get_args(kind)[0]


def _check_struct(
    value: dict[str, Any], kind: type[msgspec.Struct], path: str
) -> Iterator[Problem]:
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    for name in value:
        if name not in fields:
            yield Problem(
                f"{path}.{name}",
                describe_value(value[name]),
                "one of " + ", ".join(fields),
            )
    for name, field in fields.items():
        if name in value:
            yield from find_problems(value[name], field.type, f"{path}.{name}")
        elif field.required:
            yield Problem(f"{path}.{name}", "missing", "a value")


def find_problems(value: Any, kind: Any, path: str = "$") -> Iterator[Problem]:
    """Yield all places at which a document does not fit a type.

    Parameters
    ----------
    value : object
        Document as built-in types.
    kind : type
        Struct, or a type that msgspec can check.
    path : str
        Place of ``value`` in the whole.
    """
    struct = _find_struct(kind)
    if struct is not None and isinstance(value, dict):
        yield from _check_struct(value, struct, path)
        return
    item = _find_item(kind)
    if item is not None and isinstance(value, list):
        for index, each in enumerate(value):
            yield from find_problems(each, item, f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        accepted = str(error).split(" - at ")[0]
        yield Problem(path, describe_value(value), accepted)
