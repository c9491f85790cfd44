"""The node: its sockets towards clients, servers and discovery, and the life of its process."""
