"""Adapter to the users' platform, and the only package that uses the platform's wire names."""
