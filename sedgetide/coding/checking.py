"""Validation of JSON documents against Structs, reporting all errors."""

from collections.abc import Iterator
from typing import Any
from typing import get_args
from typing import get_origin

import msgspec

_MAX_SHOWN_LENGTH = 60


class Problem(msgspec.Struct, frozen=True, order=True):
    """One error in a document.

    Parameters
    ----------
    path : str
        Location in the document, such as ``$.services[0].name``.
    value : str
        Value at this location as JSON, shortened.
    expected : str
        Description of valid values.
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.value}: expected {self.expected}"


def describe_value(value: object) -> str:
    """Return a value as JSON, shortened."""
    shown = msgspec.json.encode(value).decode()
    if len(shown) > _MAX_SHOWN_LENGTH:
        return shown[:_MAX_SHOWN_LENGTH] + "..."
    return shown


def _get_struct_type(kind: Any) -> type[msgspec.Struct] | None:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return kind
    return None


def _get_item_type(kind: Any) -> Any:
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
    """Yield all problems of a document that does not match a type.

    Parameters
    ----------
    value : object
        Document as built-in types.
    kind : type
        Struct, or another type that msgspec can validate.
    path : str
        Location of ``value`` in the whole document.
    """
    struct = _get_struct_type(kind)
    if struct is not None and isinstance(value, dict):
        yield from _check_struct(value, struct, path)
        return
    item = _get_item_type(kind)
    if item is not None and isinstance(value, list):
        for index, each in enumerate(value):
            yield from find_problems(each, item, f"{path}[{index}]")
        return
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        expected = str(error).split(" - at ")[0].removeprefix("Expected ")
        yield Problem(path, describe_value(value), expected)
