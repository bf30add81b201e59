"""Decision core for jobs whose caller waits on the open connection.

An entry host accepts jobs from its callers and passes them to the leader of its failure domain,
which dispatches their tasks to the domain's workers. The package is sans-I/O: it has no sockets,
clock or event loop. A host's driver reports events and carries out the actions that come back."""
