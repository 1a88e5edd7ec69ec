"""The core: knows no socket, no HTTP and no gRPC."""
