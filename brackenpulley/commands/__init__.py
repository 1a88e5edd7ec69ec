"""Groups of commands, a file each; `cli` loads the one that is called."""
