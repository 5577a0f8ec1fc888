"""What the leader tells its peers for the next leader: which images each machine has, and how fast jobs arrive.

Never a matter of rules: a hint that is lost or old costs a fetch.
"""

from hookwall.workers.machine import Machine, MachinePhase, NameIndex

MAX_IMAGES_PER_MESSAGE = 6000  # in one message, of 256 KiB at most

ImageSizes = list[tuple[str, float]]  # names and GB


class SuccessorHints:
    """What this leader tells, and what this node has been told."""

    def __init__(self, machines: list[Machine], images: NameIndex) -> None:
        self.machines, self.images = machines, images
        self.next_index = 0  # the index of the machine with which the next message begins
        self.arrival_rates: tuple[float, float] = (0.0, 0.0)
        self.received_rates: tuple[float, float] | None = None
        self.received_images: dict[str, ImageSizes] = {}  # since the leader last began with the first machine
        self.previous_images: dict[str, ImageSizes] = {}  # the time before

    def next_message(self) -> dict:
        """The next message. A large fleet is told over several, each going on where the last one stopped."""
        start = self.next_index if self.next_index < len(self.machines) else 0
        warm: dict[str, ImageSizes] = {}
        images, index = 0, start
        while index < len(self.machines) and images < MAX_IMAGES_PER_MESSAGE:
            machine = self.machines[index]
            index += 1
            if machine.cached_images and machine.phase is not MachinePhase.DELETED:
                warm[machine.name] = [(self.images.names[i], gb) for i, gb in machine.cached_images.items()]
                images += 1 + len(machine.cached_images)
        self.next_index = index
        return {"warm": warm, "rate": self.arrival_rates, "first": start == 0}

    def apply_message(self, hint: object) -> None:
        """A peer leads and says what this node would want to know if it led next."""
        if not isinstance(hint, dict):
            return
        warm, rate = hint.get("warm"), hint.get("rate")
        if isinstance(warm, dict):
            if hint.get("first") is not False:
                self.previous_images, self.received_images = self.received_images, {}
            self.received_images.update(warm)
        if isinstance(rate, list | tuple) and len(rate) == 2 and all(isinstance(n, float | int) for n in rate):
            self.received_rates = (float(rate[0]), float(rate[1]))

    def restore_images(self, machine: Machine) -> None:
        """What the last leader told of a machine that this one hears for the first time."""
        for item in self.received_images.get(machine.name) or self.previous_images.get(machine.name) or ():
            try:
                name, gb = item
                machine.cached_images[self.images.index_of(str(name))] = float(gb)
            except (TypeError, ValueError):
                return
