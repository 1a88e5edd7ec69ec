"""Real ingresses before sim servers that write and read slowly, behind a fault proxy, under signals and crowds.

`plans` draws what happens to each request, `proxy` plays it between the ingresses and the servers, `clients` and
`fleet` drive the load and the processes, and `judge` compares the records of both ends with the operators' rules."""
