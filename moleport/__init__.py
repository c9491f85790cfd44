"""moleport: a layer-7 reverse proxy node and the module that makes its decisions."""
