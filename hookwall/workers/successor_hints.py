"""What the leader tells its peers for the next leader: which images each machine has, and how fast jobs arrive.

Never a matter of rules: a hint that is lost or old costs a fetch.
"""

from hookwall.workers.machine import Machine, Names, Phase

MOST_IMAGES = 6000  # in one message, of 256 KiB at most

Images = list[tuple[str, float]]  # names and GB


class Hints:
    """What this leader tells, and what this node has been told."""

    def __init__(self, machines: list[Machine], images: Names) -> None:
        self.machines, self.images = machines, images
        self.next = 0  # the index of the machine with which the next message begins
        self.rate_now: tuple[float, float] = (0.0, 0.0)
        self.rate_told: tuple[float, float] | None = None
        self.told: dict[str, Images] = {}  # since the leader last began with the first machine
        self.told_before: dict[str, Images] = {}  # the time before

    def tell(self) -> dict:
        """The next message. A large fleet is told over several, each going on where the last one stopped."""
        start = self.next if self.next < len(self.machines) else 0
        warm: dict[str, Images] = {}
        images, index = 0, start
        while index < len(self.machines) and images < MOST_IMAGES:
            machine = self.machines[index]
            index += 1
            if machine.images and machine.phase is not Phase.GONE:
                warm[machine.name] = [(self.images.names[i], gb) for i, gb in machine.images.items()]
                images += 1 + len(machine.images)
        self.next = index
        return {"warm": warm, "rate": self.rate_now, "first": start == 0}

    def take(self, hint: object) -> None:
        """A peer leads and says what this node would want to know if it led next."""
        if not isinstance(hint, dict):
            return
        warm, rate = hint.get("warm"), hint.get("rate")
        if isinstance(warm, dict):
            if hint.get("first") is not False:
                self.told_before, self.told = self.told, {}
            self.told.update(warm)
        if isinstance(rate, list | tuple) and len(rate) == 2 and all(isinstance(n, float | int) for n in rate):
            self.rate_told = (float(rate[0]), float(rate[1]))

    def recall(self, machine: Machine) -> None:
        """What the last leader told of a machine that this one hears for the first time."""
        for item in self.told.get(machine.name) or self.told_before.get(machine.name) or ():
            try:
                name, gb = item
                machine.images[self.images.of(str(name))] = float(gb)
            except (TypeError, ValueError):
                return
