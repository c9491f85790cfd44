"""Stand-ins for clients, quote servers, discovery and the platform, for the cases 6 to 10 of the review."""
