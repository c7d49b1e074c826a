"""Constrained field types of settings and of the operators' text."""

from typing import Annotated

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
Count = Annotated[int, msgspec.Meta(ge=1)]
Amount = Annotated[float, msgspec.Meta(gt=0)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
