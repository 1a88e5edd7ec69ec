"""Proofs and measurements of the program, with real processes or in virtual time; nothing that serves imports them."""
