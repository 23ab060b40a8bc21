"""Keeps modules that a relay never uses out of its memory.

asyncio imports `ssl`, and hashlib imports `_hashlib`, each where it is there; with libssl and libcrypto they
take 6 MB, a fifth of the least memory that a relay may have. A relay speaks plain TCP, and hashlib's
functions have built-in implementations.
"""

from __future__ import annotations

import importlib.util
import sys

TLS_MODULE = "ssl"
OPENSSL_HASHES_MODULE = "_hashlib"
BUILT_IN_HASHES = (("_sha256", "_sha2"), ("_blake2",))  # alternatives: names in versions of Python


def skip_unused_modules() -> None:
    """Makes imports of unused modules fail; their importers then do without. Imported ones stay."""
    sys.modules.setdefault(TLS_MODULE, None)  # type: ignore[arg-type]
    if all(any(map(_is_available, names)) for names in BUILT_IN_HASHES):
        sys.modules.setdefault(OPENSSL_HASHES_MODULE, None)  # type: ignore[arg-type]


def _is_available(module_name: str) -> bool:
    return importlib.util.find_spec(module_name) is not None
