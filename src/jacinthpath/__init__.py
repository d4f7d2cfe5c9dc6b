"""Router for servers that own keys exclusively, and its coordination parts."""

__all__: list[str] = []
