"""Admission of requests to an upstream that many hosts share."""

from sedgetide.core.admission._queue import AdmissionQueue
from sedgetide.core.admission._terms import Admission
from sedgetide.core.admission._terms import AdmissionReason
from sedgetide.core.admission._terms import AdmissionVerdict
from sedgetide.core.admission._terms import RequestTerms

__all__ = [
    "Admission",
    "AdmissionQueue",
    "AdmissionReason",
    "AdmissionVerdict",
    "RequestTerms",
]
