"""Router for servers that own keys exclusively.

The daemons are :func:`sedgetide.daemons.entry.run_entry` and
:func:`sedgetide.daemons.keeper.run_keeper`.
"""

from sedgetide.coding.settings import EntrySettings
from sedgetide.coding.settings import KeeperSettings
from sedgetide.coding.settings import load_settings
from sedgetide.coding.text import check_change
from sedgetide.coding.text import check_text
from sedgetide.core.configuration.services import Text
from sedgetide.core.errors import SedgetideError
from sedgetide.core.ownership.assignment import Assignment
from sedgetide.core.requests.outcomes import Outcome
from sedgetide.core.requests.outcomes import Reason
from sedgetide.core.requests.routing import Router

__all__ = [
    "Assignment",
    "EntrySettings",
    "KeeperSettings",
    "Outcome",
    "Reason",
    "Router",
    "SedgetideError",
    "Text",
    "check_change",
    "check_text",
    "load_settings",
]
