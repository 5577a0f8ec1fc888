"""What the leader tells its peers for the next leader: which images each machine has, and how fast jobs arrive.

Invariant: no rule rests on a hint; one that is lost or old costs a fetch of an image.
"""

from hookwall.workers.machine import Machine, MachinePhase, NameIndex

MAX_IMAGES_PER_MESSAGE = 6000  # a message may have 256 KiB

ImageSizes = list[tuple[str, float]]  # names and GB


class SuccessorHints:
    """What this leader tells its peers, and what this node has received."""

    def __init__(self, machines: list[Machine], images: NameIndex) -> None:
        """For the machines by index of a fleet, and its indices of images."""
        self.machines = machines
        self.images = images
        self.next_index = 0  # the index of the machine with which the next message begins
        self.arrival_rates: tuple[float, float] = (0.0, 0.0)
        self.received_rates: tuple[float, float] | None = None
        self.received_images: dict[str, ImageSizes] = {}  # since the leader last began with the first machine
        self.previous_images: dict[str, ImageSizes] = {}  # the time before

    def next_message(self) -> dict[str, object]:
        """The next message. A large fleet takes several, each of which goes on where the last one ended."""
        start = self.next_index if self.next_index < len(self.machines) else 0
        cached: dict[str, ImageSizes] = {}
        image_count = 0
        index = start
        while index < len(self.machines) and image_count < MAX_IMAGES_PER_MESSAGE:
            machine = self.machines[index]
            index += 1
            if machine.cached_images and machine.phase is not MachinePhase.DELETED:
                cached[machine.name] = [(self.images.names[image], gb) for image, gb in machine.cached_images.items()]
                image_count += 1 + len(machine.cached_images)
        self.next_index = index
        return {"warm": cached, "rate": self.arrival_rates, "first": start == 0}

    def apply_message(self, message: object) -> None:
        """Record what a leader tells; whatever is malformed is ignored."""
        if not isinstance(message, dict):
            return
        cached = message.get("warm")
        rates = message.get("rate")
        if isinstance(cached, dict):
            if message.get("first") is not False:
                self.previous_images = self.received_images
                self.received_images = {}
            self.received_images.update(cached)
        if isinstance(rates, list | tuple) and len(rates) == 2 and all(isinstance(rate, float | int) for rate in rates):
            self.received_rates = (float(rates[0]), float(rates[1]))

    def restore_images(self, machine: Machine) -> None:
        """Add the images that the last leader named for a machine that this one has just had a heartbeat of."""
        for item in self.received_images.get(machine.name) or self.previous_images.get(machine.name) or ():
            try:
                name, gb = item
                machine.cached_images[self.images.index_of(str(name))] = float(gb)
            except (TypeError, ValueError):
                return
