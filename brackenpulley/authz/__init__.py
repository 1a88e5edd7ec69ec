"""External authorisation over gRPC, as server and as client. Imported only where an operator's file asks for it."""
