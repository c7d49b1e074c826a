"""Loops and sockets as every process of the project uses them."""
