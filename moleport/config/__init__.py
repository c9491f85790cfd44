"""Parsers for the configuration file, the settings and the endpoint lists of discovery.

The parsers translate the keys and values of these documents to the names that the code uses.
"""
