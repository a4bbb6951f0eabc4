"""Measures the costs of a controller's parts, fits them linearly, and maintains a page's tables."""
