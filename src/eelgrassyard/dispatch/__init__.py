"""Decision core for jobs whose caller waits: entry hosts, one leader a failure domain, its workers.

Nothing here has sockets, a clock, or an event loop. A host's driver reports what happens and
carries out the actions that come back."""
