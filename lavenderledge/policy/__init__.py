"""Pure decisions: no sockets and no clock reads."""
