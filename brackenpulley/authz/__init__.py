"""Envoy's external authorisation API over gRPC, as a server and as a client.

Imported only where the operator's file configures it.
"""
