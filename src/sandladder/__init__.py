"""sandladder: a cluster scheduler that starts work only while the reasons for it still hold."""

__version__ = "0.2.0"
