"""Decoding of documents that another process has written."""

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgspec

ResultT = TypeVar("ResultT")


def _decode(decode: Callable[[], ResultT]) -> ResultT:
    try:
        return decode()
    except RecursionError as error:
        # Not a MsgspecError, and not an error of the program.
        raise msgspec.DecodeError("document is nested too deeply") from error


def decode_json(data: bytes | str, kind: Any = Any) -> Any:
    """Decode a JSON document.

    Raises
    ------
    msgspec.MsgspecError
        If it is not a document of this type, or is nested too deeply.
    """
    return _decode(lambda: msgspec.json.decode(data, type=kind))


def decode_msgpack(data: bytes, decoder: msgspec.msgpack.Decoder[Any]) -> Any:
    """Decode a MessagePack document; raises as `decode_json`.

    Parameters
    ----------
    decoder : msgspec.msgpack.Decoder
        Decoder of the type of the document.
    """
    return _decode(lambda: decoder.decode(data))
