"""Stand-ins and helpers that the review's cases share: platform, sim servers, clients and the programs under test."""
