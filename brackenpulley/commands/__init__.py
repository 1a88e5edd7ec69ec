"""Command groups, one module each; `cli` imports only the group that is called."""
