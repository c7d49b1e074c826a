"""Log line of records of the store that cannot be parsed."""

import logging

from sedgetide.core.configuration.records import Record

_log = logging.getLogger(__name__)


def log_refused_record(record: Record, error: Exception) -> None:
    """Log that a record is ignored, and that the known one stays in force.

    An error would end the task that watches the store, and the process with
    it; the same record would end each process that starts.
    """
    _log.error(
        "record refused",
        extra={
            "key": record.key,
            "revision": record.revision,
            "problem": str(error),
        },
    )
