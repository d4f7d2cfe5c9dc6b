"""Shares the slots of servers among the requests of all hosts."""
