"""Rendezvous hashing (Thaler and Ravishankar, 1998): an order of nodes that all agree on.  Pure."""

import hashlib


def rendezvous_weight(key: str, node: str) -> bytes:
    """The weight of a node for a key; the node with the least weight is the key's."""
    return hashlib.blake2b(f"{key} {node}".encode(), digest_size=8).digest()
