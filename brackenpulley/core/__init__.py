"""Core of an ingress: messages, exchanges and the driver of the decision module.

It imports neither sockets nor HTTP nor gRPC; the packages net and authz adapt them to it.
"""
