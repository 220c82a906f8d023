"""Keyed hash of callers' numbers: equal numbers have equal hashes, and brute force over all numbers needs the key.

BLAKE2b with a key (RFC 7693 section 2.9), 80 bits. Deleting the key makes the numbers in all records unrecoverable.
"""

import hashlib

MIN_KEY_BYTES = 16  # a shorter key can be guessed, and with it every number


def number_hasher(key):
    """Returns a function that hashes a number's text. Raises ValueError if the key is too short."""
    if len(key) < MIN_KEY_BYTES:
        raise ValueError(f"the key has {len(key)} bytes, needs {MIN_KEY_BYTES}; make one with 'openssl rand -hex 32'")
    seed = hashlib.blake2b(key, digest_size=64).digest()

    def hash_number(number):
        if not number:
            return ""
        return "h:" + hashlib.blake2b(number.encode("utf-8", "surrogateescape"), digest_size=10, key=seed).hexdigest()

    return hash_number
