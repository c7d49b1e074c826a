"""Entry point of the host daemon on the deployment platform."""

import os
import sys

from sedgetide.daemons.host import DeploymentAdapter
from sedgetide.daemons.host import main
from sedgetide.platform._names import READINESS_PATH
from sedgetide.platform._orders import PlatformOrders
from sedgetide.platform._registry import PlatformRegistry
from sedgetide.platform._requests import PlatformRequests
from sedgetide.platform._store import PlatformStore

_SETTINGS_VARIABLE = "SEDGETIDE_SETTINGS"
_STORE_TIMEOUT = 0.9

if __name__ == "__main__":
    arguments = sys.argv[1:] or [os.environ.get(_SETTINGS_VARIABLE, "")]
    raise SystemExit(
        main(
            arguments,
            DeploymentAdapter(
                PlatformRequests(),
                PlatformOrders(),
                PlatformRegistry(),
                lambda address, eras: PlatformStore(
                    address, _STORE_TIMEOUT, eras
                ),
                READINESS_PATH,
            ),
        )
    )
