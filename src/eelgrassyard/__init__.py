"""eelgrassyard: a distributed task dispatcher for tasks of 50 ms to a few seconds."""

__version__ = "0.1.0"
