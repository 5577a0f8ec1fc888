"""Hints that the leader sends to its peers for the next leader: each machine's cached images, and job arrival rates.

Invariant: correctness never depends on a hint; a lost or outdated hint only costs an image fetch.
"""

from hookwall.workers.machine import Machine, MachinePhase, NameIndex

MAX_IMAGES_PER_MESSAGE = 6000  # keeps messages below their limit of 256 KiB

ImageSizes = list[tuple[str, float]]  # image names and sizes in GB


class SuccessorHints:
    """Creates the hints of this node while it leads, and holds the hints that it has received from a leader."""

    def __init__(self, machines: list[Machine], images: NameIndex) -> None:
        """`machines` are those of a fleet, ordered by index; `images` are the fleet's image name indices."""
        self.machines = machines
        self.images = images
        self.next_index = 0  # index of the first machine in the next message
        self.arrival_rates: tuple[float, float] = (0.0, 0.0)
        self.received_rates: tuple[float, float] | None = None
        self.received_images: dict[str, ImageSizes] = {}  # in the current pass of the leader over all machines
        self.previous_images: dict[str, ImageSizes] = {}  # in the previous pass

    def next_message(self) -> dict[str, object]:
        """Return the next message. A large fleet takes several messages; each continues where the last one ended."""
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
        """Record the hints of a leader's message; malformed parts are ignored."""
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
        """Add the cached images that the previous leader's hints name for a machine, at its first heartbeat here."""
        for item in self.received_images.get(machine.name) or self.previous_images.get(machine.name) or ():
            try:
                name, gb = item
                machine.cached_images[self.images.index_of(str(name))] = float(gb)
            except (TypeError, ValueError):
                return
