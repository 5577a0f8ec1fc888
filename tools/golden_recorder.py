"""The scripted peer of the tools that print golden samples; it needs no module of the version that they run."""


class Recorder:
    """A peer that remembers what it was sent and answers as told."""

    def __init__(self, name: str) -> None:
        self.name, self.sent = name, []

    async def call(self, message: dict, timeout: float = 1.0) -> dict:
        self.sent.append(message)
        return {"ok": True, "sok": True, "top": 0, "beats": 0, "want": [1.0, 2.0], "knows": True}
