"""Reads the store's era from the headers of its answers."""

from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.platform import _names
from sedgetide.platform._spellings import list_spellings
from sedgetide.wire.messages import Headers

# Fences count on from the era times 2^32 and have to fit into 63 bits.
LAST_ERA = Era(2**31 - 1)
_SPELLINGS = list_spellings(_names.STORE_ERA)


def read_era(headers: Headers) -> Era:
    """Return the era of an answer; the first one when none is named.

    Raises
    ------
    ValueError
        When it can not be read, or two different ones are named.
    """
    named = {
        part.strip()
        for name, value in headers
        if name.lower() in _SPELLINGS
        for part in value.split(",")
    }
    if not named:
        return FIRST_ERA
    if all(each.isascii() and each.isdigit() for each in named):
        eras = {int(each) for each in named}
        if len(eras) == 1 and max(eras) <= LAST_ERA:
            return Era(eras.pop())
    raise ValueError(
        f"{_names.STORE_ERA}: {sorted(named)}: accepted is one number "
        f"from 0 to {LAST_ERA}"
    )
