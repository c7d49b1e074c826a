"""Limits of the store's answers.

An answer is decoded in one step, during which no other task of the process
runs. Of items it has at most `MAX_ROWS`, as each one costs far more than its
bytes when it is applied.
"""

import base64
from collections.abc import Sequence

from sedgetide.coding.values import MAX_VALUE_BYTES
from sedgetide.core.errors import ErrorCode
from sedgetide.core.errors import Step
from sedgetide.core.errors import StoreError

_MEGABYTE = 1024 * 1024
# Base64 text of the largest value that the store takes. A configuration of
# 4 MB would take up to 1.7 s to read.
_MAX_VALUE_TEXT = -(-MAX_VALUE_BYTES // 3) * 4
# A page of a listing has about 1 MB, or one item beyond it. A refused write
# names the items that it expected.
_PAGE_BYTES = 4 * _MEGABYTE
# A watch names all changes since the last one.
MAX_ANSWER_BYTES = 16 * _MEGABYTE
# Items of one answer.
MAX_ROWS = 16_384
# Items of all pages of a listing; they are applied in one step.
_MAX_LISTED_ROWS = 32_768
_MAX_LISTED_BYTES = 64 * _MEGABYTE


def find_answer_limit(step: Step) -> int:
    """Return how many bytes the body of an answer may have.

    Parameters
    ----------
    step : Step
        Kind of the call.
    """
    return MAX_ANSWER_BYTES if step is Step.WATCH else _PAGE_BYTES


def decode_value(text: str) -> bytes:
    """Return the decoded value of an item, empty if it is invalid.

    An error here would fail the whole listing because of one item, and the
    host would never become ready. The item's reader rejects an empty value.

    Parameters
    ----------
    text : str
        Base64 text; one of more than the largest value is invalid.
    """
    if len(text) > _MAX_VALUE_TEXT:
        return b""
    try:
        return base64.b64decode(text, validate=True)
    except ValueError:
        return b""


class ListingBudget:
    """Decides whether one more page of a listing may be taken.

    A store that names one more page each time, or the same one again, would
    fill the memory of the process.

    Parameters
    ----------
    address : str
        Address of the store, for errors.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._rows = 0
        self._bytes = 0
        self._last_key: str | None = None

    def note_page(self, size: int, keys: Sequence[str]) -> None:
        """Count a page.

        Parameters
        ----------
        size : int
            Bytes of its answer.
        keys : sequence of str
            Keys of its items, in their order.

        Raises
        ------
        StoreError
            If the pages exceed a limit, or end at the same key again.
        """
        self._rows += len(keys)
        self._bytes += size
        if self._rows > _MAX_LISTED_ROWS:
            self._refuse(f"listing of more than {_MAX_LISTED_ROWS} items")
        if self._bytes > _MAX_LISTED_BYTES:
            self._refuse(f"listing of more than {_MAX_LISTED_BYTES} bytes")
        last_key = keys[-1] if keys else None
        if keys and last_key == self._last_key:
            self._refuse(f"two pages end at {keys[-1][:80]!r}")
        self._last_key = last_key

    def _refuse(self, detail: str) -> None:
        raise StoreError(
            ErrorCode.BAD_ANSWER, Step.READ, self._address, detail
        )
