"""Baseline for measurements: an entry that calls one upstream directly.

It uses the same HTTP server and client as the product, without keepers,
queues and ownership.
"""

import argparse
import itertools
import sys
from typing import Any

import falcon

from sedgetide.backends.httpupstream import HttpUpstream
from sedgetide.backends.upstream import OrderContext
from sedgetide.backends.upstream import UpstreamRequest
from sedgetide.core.identifiers import Epoch
from sedgetide.testing import serving

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_FOREVER = 1e9
_TIMEOUT = 10.0


class _Forwarder:
    def __init__(self, upstream: str) -> None:
        self._client = HttpUpstream(upstream, _MAX_ANSWER_BYTES, 1.0)
        self._numbers = itertools.count()

    def serve(
        self, request: falcon.Request, response: falcon.Response, **_: Any
    ) -> None:
        """Forward a request and return its answer."""
        work = UpstreamRequest(
            f"direct-{next(self._numbers)}",
            request.method,
            request.path,
            [],
            request.env["wsgi.input"].read(),
            None,
            Epoch(0),
            _FOREVER,
        )
        order = OrderContext("direct", "0", float("inf"))
        result = self._client.run(order, work, _TIMEOUT, fresh=False)
        response.status = result.answer.status
        response.data = result.answer.body


def main(arguments: list[str] | None = None) -> int:
    """Run the baseline until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    serving.add_listen_options(parser)
    parser.add_argument("--upstream", required=True)
    options = parser.parse_args(arguments)
    application = falcon.App()
    application.add_sink(_Forwarder(options.upstream).serve, "/")
    return serving.serve_until_signal(
        application, options.address, options.port
    )


if __name__ == "__main__":
    sys.exit(main())
