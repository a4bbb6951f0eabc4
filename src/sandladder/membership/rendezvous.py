"""Rendezvous hashing (Thaler and Ravishankar, 1998).  Pure."""

import hashlib


def rendezvous_weight(key: str, node: str) -> bytes:
    """Return the weight of a node for a key; the key belongs to the node with the lowest weight."""
    return hashlib.blake2b(f"{key} {node}".encode(), digest_size=8).digest()
