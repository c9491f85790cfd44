"""The node: its connections to clients, servers and discovery, and its process lifecycle."""
