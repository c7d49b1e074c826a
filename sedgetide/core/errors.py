"""Errors of the project: a code, the step and the peer they arose at."""

import enum


class ErrorCode(enum.Enum):
    """Reason of a failure, stable across versions."""

    BAD_SETTINGS = "bad-settings"
    BAD_TEXT = "bad-text"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_CONFLICT = "store-conflict"
    STORE_UNCERTAIN = "store-uncertain"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_FULL = "upstream-full"
    UPSTREAM_SILENT = "upstream-silent"
    BAD_ANSWER = "bad-answer"
    TOO_LATE = "too-late"
    LINK_LOST = "link-lost"
    LINK_FULL = "link-full"
    RULE_BROKEN = "rule-broken"


class Step(enum.Enum):
    """Step of the work at which an error arose."""

    START = "start"
    CHECK = "check"
    READ = "read"
    WRITE = "write"
    WATCH = "watch"
    CONNECT = "connect"
    SEND = "send"
    ANSWER = "answer"
    ASSIGN = "assign"


class SedgetideError(Exception):
    """Base of all errors raised by the project.

    Parameters
    ----------
    code : ErrorCode
        Reason, for programs.
    step : Step
        Step at which the error arose.
    peer : str
        Address or name of the other side; empty when there is none.
    detail : str
        Reason, for people.
    """

    def __init__(
        self, code: ErrorCode, step: Step, peer: str = "", detail: str = ""
    ) -> None:
        super().__init__(f"{code.value} at {step.value} ({peer}): {detail}")
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail


class InputError(SedgetideError):
    """Settings or operators' text that fail their check."""


class StoreError(SedgetideError):
    """A call to the platform's store that gave no usable answer."""


class StoreConflict(StoreError):
    """A compare-and-swap that found another revision.

    Parameters
    ----------
    expected, found : int
        Revision the change started from, and the one in the store.
    """

    def __init__(
        self, step: Step, peer: str, expected: int, found: int
    ) -> None:
        super().__init__(
            ErrorCode.STORE_CONFLICT,
            step,
            peer,
            f"change started from revision {expected}, "
            f"the store holds revision {found}",
        )
        self.expected = expected
        self.found = found


class HistoryLost(StoreError):
    """A watch whose beginning the store no longer remembers."""


class LeaseEnded(StoreError):
    """A write or renewal under a lease that the store does not know."""


class UpstreamError(SedgetideError):
    """A call to an upstream that gave no whole answer.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request was handed to the socket.
    """

    def __init__(
        self, code: ErrorCode, step: Step, peer: str, detail: str, sent: bool
    ) -> None:
        super().__init__(code, step, peer, detail)
        self.sent = sent


class LinkError(SedgetideError):
    """A message between own processes that could not be handed over."""


class RuleError(SedgetideError):
    """A command that an aggregate refuses because of its rules."""

    def __init__(self, step: Step, detail: str) -> None:
        super().__init__(ErrorCode.RULE_BROKEN, step, "", detail)
