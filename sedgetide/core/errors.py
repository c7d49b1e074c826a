"""Exceptions of the project, with an error code, step and peer."""

import enum


class ErrorCode(enum.Enum):
    """Reason of a failure; values are stable across versions."""

    BAD_SETTINGS = "bad-settings"
    BAD_TEXT = "bad-text"
    STORE_UNAVAILABLE = "store-unavailable"
    STORE_CONFLICT = "store-conflict"
    STORE_UNCERTAIN = "store-uncertain"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    UPSTREAM_FULL = "upstream-full"
    UPSTREAM_SILENT = "upstream-silent"
    CONNECTIONS_IN_USE = "connections-in-use"
    BAD_ANSWER = "bad-answer"
    TOO_LATE = "too-late"
    LINK_LOST = "link-lost"
    LINK_FULL = "link-full"
    RULE_BROKEN = "rule-broken"


class Step(enum.Enum):
    """Processing step at which an error occurred."""

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
    """Base class of all errors raised by the project.

    Parameters
    ----------
    code : ErrorCode
        Machine-readable reason.
    step : Step
        Step at which the error occurred.
    peer : str
        Address or name of the peer; empty when there is none.
    detail : str
        Human-readable reason.
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
    """Settings or configuration text that fail validation."""


class StoreError(SedgetideError):
    """A call to the platform's store that got no usable answer."""


class StoreConflict(StoreError):
    """A compare-and-swap that found a different revision.

    Parameters
    ----------
    expected, found : int
        Revision on which the change was based, and the one in the store.
    """

    def __init__(
        self, step: Step, peer: str, expected: int, found: int
    ) -> None:
        super().__init__(
            ErrorCode.STORE_CONFLICT,
            step,
            peer,
            f"change is based on revision {expected}, "
            f"the store has revision {found}",
        )
        self.expected = expected
        self.found = found


class HistoryLost(StoreError):
    """A watch that starts before the retained history of the store."""


class LeaseEnded(StoreError):
    """A write or renewal with a lease that the store does not know."""


class UpstreamError(SedgetideError):
    """A call to an upstream that returned no complete answer.

    Parameters
    ----------
    sent : bool
        Whether any byte of the request was passed to the socket.
    """

    def __init__(
        self, code: ErrorCode, step: Step, peer: str, detail: str, sent: bool
    ) -> None:
        super().__init__(code, step, peer, detail)
        self.sent = sent


class LinkError(SedgetideError):
    """A message to another process of the router that was not delivered."""


class RuleError(SedgetideError):
    """A command that would violate an invariant of an aggregate."""

    def __init__(self, step: Step, detail: str) -> None:
        super().__init__(ErrorCode.RULE_BROKEN, step, "", detail)


class AnswerCutError(UpstreamError):
    """An answer that this process has stopped reading at a limit."""
