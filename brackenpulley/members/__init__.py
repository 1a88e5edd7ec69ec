"""Membership between ingresses: SWIM with Lifeguard's suspicion and local health awareness, encrypted by a key ring.

The state machine (`protocol`) does no I/O: transport, clock and randomness are passed in. The package is loaded only
where the operator's file switches membership on."""
