"""Runs a host that stalls on a signal.

    python -m sedgetide.testing.stallinghost MODULE ARGUMENT...

The module is that of a host, with or without a gateway, and the arguments are
passed on to it.
"""

import runpy
import sys

from sedgetide.testing.stalls import install_stalls


def main() -> None:
    """Install the stalls and run the host."""
    install_stalls()
    del sys.argv[0]
    runpy.run_module(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
