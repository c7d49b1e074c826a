"""Parsing of the store's era from response headers."""

from sedgetide.core.history import Era
from sedgetide.core.history import FIRST_ERA
from sedgetide.platform import _names
from sedgetide.platform._spellings import list_spellings
from sedgetide.wire.messages import Headers

# Fences start at the era times 2^32 and have to fit into 63 bits.
LAST_ERA = Era(2**31 - 1)
_SPELLINGS = list_spellings(_names.STORE_ERA)


def read_era(headers: Headers) -> Era:
    """Return the era of a response, the first era when it has no header.

    Raises
    ------
    ValueError
        If the header is invalid or names two different eras.
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
        f"{_names.STORE_ERA}: {sorted(named)}: expected one number "
        f"from 0 to {LAST_ERA}"
    )
