"""What a request and its repeats by the same caller have in common."""

import hashlib
import re

from sedgetide.core.identifiers import Fingerprint

_BYTES = 16
_LENGTH_BYTES = 8
FINGERPRINT_FORM = re.compile(f"[0-9a-f]{{{2 * _BYTES}}}")


def make_fingerprint(
    method: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return what stands for a request in logs and in the quarantine.

    Each attempt has an id of its own, so the id tells nothing of repeats;
    nor does the address that it comes from, which a caller behind several
    proxies changes with each attempt. The hash is a cryptographic one: with
    any other, a caller could make a request that is taken for another's.
    Each part goes in with its length, so that no two requests are one text.

    Parameters
    ----------
    method, host, target : str
        What is asked for.
    body : bytes
        Whole body.
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (method, host, target):
        data = part.encode("latin-1", "replace")
        digest.update(len(data).to_bytes(_LENGTH_BYTES))
        digest.update(data)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
