"""Clusters and endpoints in Envoy's xDS form, as a second source of the inventory. Imported only where set up."""
