"""Names of headers that are written with or without the platform's prefix."""

_PREFIX = "Sedgetide-"


def list_spellings(name: str) -> tuple[str, str]:
    """Return both forms of a header's name, in lower case."""
    return name.lower(), (_PREFIX + name).lower()
