"""Stand-ins and helpers of the second review: small, on asyncio, with no code of the project."""
