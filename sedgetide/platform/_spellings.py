"""Header names that are sent with or without the platform's prefix."""

_PREFIX = "Sedgetide-"


def list_spellings(name: str) -> tuple[str, str]:
    """Return a header name without and with the prefix, in lower case."""
    return name.lower(), (_PREFIX + name).lower()
