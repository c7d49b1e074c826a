"""Decides by ids whether an answer is that to the request under way."""


class AnswerIds:
    """Whether answers of an upstream name the request that they are for.

    An upstream may send additional bytes late, where the next answer on the
    connection is expected. They may be a whole answer, and one without an id
    belongs to no request where the upstream names it in its answers.
    """

    def __init__(self) -> None:
        self._are_named = True

    @property
    def are_named(self) -> bool:
        """Whether the last answer had an id; assumed before the first."""
        return self._are_named

    def note_answer(self, found: str | None) -> None:
        """Record the id of an answer to a request with one; None if absent."""
        self._are_named = found is not None

    def is_own(
        self, found: str | None, request: str, is_first: bool, certain: bool
    ) -> bool:
        """Return whether an answer counts as that to a request.

        Parameters
        ----------
        found : str or None
            Id in the answer.
        request : str
            Id of the request; empty if it has none.
        is_first : bool
            Whether it is the first answer on its connection, where nothing
            earlier can be late.
        certain : bool
            Whether an answer without an id must not count where it may be a
            late one, even if the upstream names no requests.
        """
        if found is not None:
            return found == request
        if not request or is_first:
            return True
        return not (certain or self._are_named)
