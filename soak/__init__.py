"""Randomized faults on real host processes, with stand-ins of the platform around them.

``python -m soak --seeds=1-50`` plays one run a seed: hosts run as separate processes, every
connection between them, to the store, to workers and from callers goes through a loopback proxy,
and the promises are checked from what callers and workers see.
"""
