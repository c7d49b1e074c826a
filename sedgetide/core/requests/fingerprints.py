"""Fingerprints that identify a request across its repetitions."""

import hashlib
import re

from sedgetide.core.identifiers import Fingerprint

_BYTES = 16
_LENGTH_BYTES = 8
FINGERPRINT_FORM = re.compile(f"[0-9a-f]{{{2 * _BYTES}}}")


def make_fingerprint(
    method: str, host: str, target: str, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request for logs and the quarantine.

    The request id differs between attempts and therefore does not identify
    repetitions. Neither does the source address, which changes with each
    attempt of a caller behind several proxies. The hash is cryptographic, so
    that a caller cannot craft a request with the fingerprint of another one.
    Each part is prefixed with its length, so that different requests never
    hash the same input.

    Parameters
    ----------
    method, host, target : str
        Request method, host header and request target.
    body : bytes
        Complete body.
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (method, host, target):
        data = part.encode("latin-1", "replace")
        digest.update(len(data).to_bytes(_LENGTH_BYTES))
        digest.update(data)
    digest.update(body)
    return Fingerprint(digest.hexdigest())
