"""Reads the inventory from Envoy's xDS resources, in place of discovery.

Imported only where the operator's file configures it.
"""
