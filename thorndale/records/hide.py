"""Callers' numbers kept as a keyed hash: equal numbers stay equal, and nobody without the key can try them all.

BLAKE2b with a key (RFC 7693 section 2.9), 80 bits. Erasing the key erases the numbers in all records at once.
"""

import hashlib

KEY_LEAST = 16  # bytes; a shorter key can be guessed, and with it every number


def hider(key):
    """A function of a number's text. Raises ValueError for a key that guards nothing."""
    if len(key) < KEY_LEAST:
        raise ValueError(f"the key has {len(key)} bytes, needs {KEY_LEAST}; make one with 'openssl rand -hex 32'")
    seed = hashlib.blake2b(key, digest_size=64).digest()

    def hide(number):
        if not number:
            return ""
        return "h:" + hashlib.blake2b(number.encode("utf-8", "surrogateescape"), digest_size=10, key=seed).hexdigest()

    return hide
