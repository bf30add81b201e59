"""Benchmarks of the decision core and the daemon."""
