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
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or int(port) > MAX_PORT:
        raise ValueError(
            f"port {port[:20]!r}: expected a number from 0 to {MAX_PORT}"
        )
    return host.strip("[]"), int(port)


def check_server_address(address: str) -> None:
    """Check an address at which another process says that it listens.

    Raises
    ------
    ValueError
        If a connection can't lead to a single host, whoever opens it.
    """
    host, port = split_address(address)
    ip = ipaddress.ip_address(host)
    if port == 0:
        raise ValueError(f"port 0: expected a number from 1 to {MAX_PORT}")
    # Reserved in version 4 only: in version 6 that includes the loopback. The
    # scope of an address has a meaning on its own host only.
    if isinstance(ip, ipaddress.IPv4Address):
        unusable = ip.is_reserved
    else:
        unusable = ip.scope_id is not None
    if unusable or ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{host}: expected the address of one host")


ADDRESS_FORM = "IP:port, as 10.0.0.7:8080"


def check_address(address: str, path: str) -> Iterator[Problem]:
    """Yield a problem if an address is invalid."""
    try:
        split_address(address)
    except ValueError:
        yield Problem(path, describe_value(address), ADDRESS_FORM)
