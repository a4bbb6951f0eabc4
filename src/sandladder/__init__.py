"""sandladder: a cluster scheduler that revalidates each decision before it commits it."""

__version__ = "0.2.0"
