"""Stand-ins of the platform, its runners and its clients for the scripts of this review.

The store, the runners and the proxy are those of ``soak``; this package adds the site, the clients
and the record of what was sent, answered and run.
"""
