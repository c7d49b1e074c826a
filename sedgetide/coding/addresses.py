"""Parsing and validation of ``IP:port`` addresses."""

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
        If the host is not an IP address or the port is above 65535.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"port {port!r}: expected a number from 0 to 65535")
    return host.strip("[]"), int(port)


ADDRESS_FORM = "IP:port, as 10.0.0.7:8080"


def check_address(address: str, path: str) -> Iterator[Problem]:
    """Yield a problem if an address is invalid."""
    try:
        split_address(address)
    except ValueError:
        yield Problem(path, describe_value(address), ADDRESS_FORM)
