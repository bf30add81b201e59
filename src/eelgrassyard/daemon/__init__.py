"""The daemon of a host."""
