"""What a fleet did, second by second: a tally in each ingress's log, and the command that adds them up.

The daemon loads `tally` alone, and only where the operator's file asks for it; everything else reads logs."""
