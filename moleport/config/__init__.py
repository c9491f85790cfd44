"""Reads the node's configuration, its settings and discovery's endpoint lists, and translates their words."""
