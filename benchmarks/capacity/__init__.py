"""What each role of the fleet costs by its size: slopes measured here, and docs/CAPACITY.md made of them."""
