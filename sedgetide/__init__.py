"""Router for servers that own keys exclusively.

The daemons are :func:`sedgetide.daemons.entry.run_entry` and
:func:`sedgetide.daemons.keeper.run_keeper`.
"""

from sedgetide.coding.settings import EntrySettings
from sedgetide.coding.settings import KeeperSettings
from sedgetide.coding.settings import load_settings
from sedgetide.coding.text import check_change
from sedgetide.coding.text import check_text
from sedgetide.core.assignment import Assignment
from sedgetide.core.errors import SedgetideError
from sedgetide.core.outcomes import Outcome
from sedgetide.core.outcomes import Reason
from sedgetide.core.routing import Router
from sedgetide.core.services import Text

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
