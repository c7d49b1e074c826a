"""Addresses by IP number, as ``IP:port``."""

from collections.abc import Iterator
import ipaddress

from sedgetide.coding.checking import describe_value
from sedgetide.coding.checking import Problem

MAX_PORT = 65535


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:port``.

    Raises
    ------
    ValueError
        When the host part is no IP number or the port above 65535.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r} is not a number from 0 to 65535")
    return host.strip("[]"), int(port)


ADDRESS_FORM = "IP:port, as 10.0.0.7:8080"


def check_address(address: str, path: str) -> Iterator[Problem]:
    """Yield what is wrong with an address."""
    try:
        split_address(address)
    except ValueError:
        yield Problem(path, describe_value(address), ADDRESS_FORM)
