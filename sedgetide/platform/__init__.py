"""Translation between the agency's platform and the product.

Names of headers, calls, keys and fields of the platform stand here and
nowhere else. Nothing here decides.
"""
