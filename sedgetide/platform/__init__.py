"""Adapter between the deployment platform and the router.

All names of the platform's headers, endpoints, store keys and fields are
confined to this package. It only translates and makes no decisions.
"""
