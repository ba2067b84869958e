"""HTTP/1.1 connections over asyncio transports, parsed by httptools."""
