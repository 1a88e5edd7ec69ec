"""A host group's instances under one supervisor: started, watched, replaced, rolled.

What is decided stands in modules without I/O (`spec`, `instance`, `backoff`, `rolling`, `sharing`, `notify`, `lines`);
`supervisor` has the processes and the sockets. Nothing of it is loaded by a lone ingress."""
