"""Interruptions of the event loops of hosts, as their logs tell them."""

import msgspec

from sedgetide.command.explain import Line
from sedgetide.command.explain import parse_line
from sedgetide.core.loopdelay import InterruptionCause
from sedgetide.testing.soakfleet import Program

_EVENT = "loop-stalled"


class LoopStall(msgspec.Struct, frozen=True):
    """One report of interruptions of an event loop.

    Parameters
    ----------
    host : str
        Name of the host.
    seconds, processor_seconds : float
        Length of the longest one, and the processor time of the host in it.
    cause : InterruptionCause
        Whether the host ran meanwhile.
    count : int
        Number of interruptions.
    """

    host: str
    seconds: float
    processor_seconds: float
    cause: InterruptionCause
    count: int


class LoopStalls:
    """Reads the reports from the output of hosts, each of them once.

    Parameters
    ----------
    programs : list of Program
        Processes of the hosts.
    """

    def __init__(self, programs: list[Program]) -> None:
        self._positions = dict.fromkeys(programs, 0)

    def read_new(self) -> list[LoopStall]:
        """Return the reports since the last call."""
        stalls = []
        for program, position in self._positions.items():
            with program.output.open("rb") as output:
                output.seek(position)
                data = output.read()
            # The last line may be incomplete.
            size = data.rfind(b"\n") + 1
            self._positions[program] = position + size
            text = data[:size].decode(errors="replace")
            for each in text.splitlines(keepends=True):
                line = parse_line(each)
                if line is not None and line.find("event") == _EVENT:
                    stalls.append(_make_stall(program.name, line))
        return stalls


def _make_stall(host: str, line: Line) -> LoopStall:
    return LoopStall(
        host,
        float(line.find("seconds")),
        float(line.find("processor_seconds")),
        InterruptionCause(line.find("cause")),
        int(line.find("stalls")),
    )


def format_stalls(stalls: list[LoopStall]) -> str:
    """Return one line about the longest interruption of each cause."""
    parts = []
    for cause in InterruptionCause:
        mine = [each for each in stalls if each.cause is cause]
        if mine:
            worst = max(mine, key=lambda each: each.seconds)
            parts.append(
                f"{cause.value} {sum(each.count for each in mine)} times, "
                f"{worst.seconds:.2f} s at most ({worst.host}, "
                f"{worst.processor_seconds:.2f} s of processor time)"
            )
    return "; ".join(parts) or "none over 0.1 s"
