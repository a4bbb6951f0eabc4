"""Measures what each part of a controller costs, fits slopes, and keeps the tables of a page."""
