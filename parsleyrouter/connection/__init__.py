"""Servers and clients for HTTP, peer RPC, datagrams and the key-value service."""
