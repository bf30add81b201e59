"""Fault injection test of real host processes, with stand-ins for the rest of the platform.

``python -m soak --seeds=1-50`` makes one run per seed. Hosts run as separate processes. Each
connection between them, to the store, to workers and from callers goes through a loopback proxy.
Invariants are checked from what callers and workers observe.
"""
