"""One broker of a machine: which version runs, and how it is replaced while its address takes connections.
Pure.

The new process is started beside the old one and shares its listening socket; only once it serves, and has
told the digests that its files have, is the old one asked to end, and it finishes what it holds. What crashes
is started again after a wait that doubles, and given up, loudly, after too many.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EMPTY, STARTING, RUNNING, REPLACING, DRAINING, APPLYING, WAITING, GAVE_UP = (
    "empty",
    "starting",
    "running",
    "replacing",
    "draining",
    "applying",
    "waiting",
    "gave up",
)


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process of a version; ``run`` numbers this slot's processes."""

    run: int
    version: str


@dataclass(frozen=True, slots=True)
class Stop:
    """Ask a process to end (SIGTERM); ``by_force``: end it (SIGKILL)."""

    run: int
    by_force: bool = False


@dataclass(frozen=True, slots=True)
class Apply:
    """Hand a running process the settings of a version of the same program."""

    run: int
    version: str


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators."""

    level: str
    text: str


Act = Start | Stop | Apply | Say


@dataclass(frozen=True, slots=True)
class Patience:
    """Times (us) and counts."""

    start_us: int = 30_000_000
    drain_us: int = 10_000_000
    apply_us: int = 3_000_000  # for a process to say that it goes by other settings; then it is replaced
    backoff_us: int = 200_000
    backoff_most_us: int = 10_000_000
    crashes: int = 6  # within ``calm_us`` of one another, after which it is given up
    calm_us: int = 30_000_000
    tries: int = 2  # starts of a wished version beside one that runs, before it is said to have failed


@dataclass(slots=True)
class Process:
    """One run."""

    run: int
    version: str
    since_us: int
    ready: bool = False
    asked_us: int = 0  # to end


@dataclass(slots=True)
class Slot:
    """``wanted`` is what is to run; ``failed`` tells why the last wish could not be carried out, by its
    version.
    """

    name: str
    patience: Patience = field(default_factory=Patience)
    state: str = EMPTY
    wanted: str = ""
    serving: Process | None = None  # takes connections
    kept: str = ""  # what served before, to fall back on
    coming: Process | None = None  # starts beside it, or alone
    going: Process | None = None  # finishes what it holds
    applying: str = ""  # whose settings were handed to what serves, since when
    applying_us: int = 0
    runs: int = 0
    deaths: int = 0
    failed: dict[str, str] = field(default_factory=dict)
    term: int = 0
    number: int = 0
    _crashes: int = 0
    _crash_us: int = 0
    _again_us: int = 0
    _tries: int = 0
    _acts: list[Act] = field(default_factory=list)

    @property
    def version(self) -> str:
        """What serves now; empty while nothing does."""
        return self.serving.version if self.serving is not None else ""

    def want(
        self, now: int, version: str, term: int = 0, number: int = 0, *, in_place: bool = False
    ) -> tuple[str, list[Act]]:
        """A wish; returns why it is not taken, or nothing. One of an older (term, number) than the last is
        not. ``in_place``: it differs from what serves in its settings alone, which may be handed over.
        """
        if (term, number) < (self.term, self.number):
            return f"({term}, {number}) is older than ({self.term}, {self.number})", []
        self.term, self.number = term, number
        if version != self.wanted:
            self.wanted, self._tries = version, 0
            self.failed.pop(version, None)
            self._crashes, self._again_us = 0, now
            if self.state == GAVE_UP:
                self.state = EMPTY
            if self.coming is not None and self.coming.version != version:
                self._end(now, self.coming, by_force=True)  # it has taken nothing yet
                self.coming = None
            self.applying = ""
            if (
                in_place
                and self.serving is not None
                and self.serving.version != version
                and self.going is None
            ):
                self.applying, self.applying_us = version, now
                self._acts.append(Apply(self.serving.run, version))
        self._go_on(now)
        return "", self._taken()

    def ready(self, now: int, run: int, wrong: str = "") -> list[Act]:
        """A process serves; ``wrong`` tells what it said of itself that is not so."""
        coming = self.coming
        if coming is None or coming.run != run:
            return []
        if wrong:
            self._end(now, coming, by_force=True)
            self.coming = None
            self._could_not(now, coming.version, wrong)
            return self._taken()
        coming.ready, self.coming = True, None
        old, self.serving = self.serving, coming
        if old is not None and old.version != coming.version:
            self.kept = old.version
        self._say("info", f"{self.name}: {coming.version} serves")
        if old is not None:
            self._end(now, old)
            self.going = old
        self._go_on(now)
        return self._taken()

    def applied(self, now: int, run: int, version: str) -> list[Act]:
        """What serves says that it goes by a version's settings."""
        if self.serving is not None and self.serving.run == run and self.applying == version:
            self.kept, self.serving.version, self.applying = self.serving.version, version, ""
            self._say("info", f"{self.name}: {version} in place")
            self._go_on(now)
        return self._taken()

    def ended(self, now: int, run: int, code: int, held: int = 0) -> list[Act]:
        """A process has ended; ``held`` is what it still held by its last word."""
        for role in ("going", "coming", "serving"):
            process: Process | None = getattr(self, role)
            if process is None or process.run != run:
                continue
            setattr(self, role, None)
            if role == "going":
                if code != 0:
                    self.deaths += 1
                    self.failed[self.wanted] = f"{process.version} ended with {code}, {held} held"
                    self._say(
                        "error", f"{self.name}: {process.version} did not end in order: {code}, {held} held"
                    )
            elif role == "coming":
                self._could_not(now, process.version, f"ended with {code} before it served")
            else:
                self._crashed(now, process, code)
        self._go_on(now)
        return self._taken()

    def look(self, now: int) -> list[Act]:
        """What time has brought."""
        coming, going = self.coming, self.going
        if coming is not None and now - coming.since_us >= self.patience.start_us:
            self._end(now, coming, by_force=True)
            self.coming = None
            self._could_not(now, coming.version, "did not serve in time")
        if going is not None and not going.ready and now - going.asked_us >= self.patience.drain_us:
            going.asked_us = now
            self._say("warning", f"{self.name}: {going.version} did not finish in time and is killed")
            self._acts.append(Stop(going.run, by_force=True))
        if self.applying and now - self.applying_us >= self.patience.apply_us:
            self._say("warning", f"{self.name}: {self.applying} did not go in, the process is replaced")
            self.applying = ""
        self._go_on(now)
        return self._taken()

    def adopt(self, now: int, run: int, version: str) -> None:
        """A process of before this agent's start still serves."""
        self.runs = max(self.runs, run)
        self.serving = Process(run, version, now, ready=True)
        self.state = RUNNING

    def _taken(self) -> list[Act]:
        acts, self._acts = self._acts, []
        return acts

    def _say(self, level: str, text: str) -> None:
        self._acts.append(Say(level, text))

    def _end(self, now: int, process: Process, by_force: bool = False) -> None:
        process.asked_us, process.ready = now, False
        self._acts.append(Stop(process.run, by_force))

    def _could_not(self, now: int, version: str, why: str) -> None:
        """A start that came to nothing: beside one that serves it is a wish that failed, alone it
        is a crash.
        """
        self._say("error", f"{self.name}: {version}: {why}")
        self._tries += 1
        if self.serving is not None:
            if self._tries >= self.patience.tries:
                self.failed[version] = why
            return
        self.failed[version] = why
        self._wait(now)

    def _crashed(self, now: int, process: Process, code: int) -> None:
        self.deaths += 1
        self._say("error", f"{self.name}: {process.version} ended with {code} by itself")
        self._wait(now)

    def _wait(self, now: int) -> None:
        self._crashes = self._crashes + 1 if now - self._crash_us < self.patience.calm_us else 1
        self._crash_us = now
        wait = min(self.patience.backoff_us * 2 ** (self._crashes - 1), self.patience.backoff_most_us)
        self._again_us = now + wait
        if self._crashes < self.patience.crashes:
            return
        if self.kept and self.wanted not in self.failed:
            self.failed[self.wanted], self._crashes = f"ended {self._crashes} times in a row", 0
            self._say("error", f"{self.name}: {self.wanted} is given up, back to {self.kept}")
        else:
            self.state = GAVE_UP
            self._say(
                "error", f"{self.name}: given up after {self._crashes} ends in a row: it needs an operator"
            )

    def _go_on(self, now: int) -> None:
        """Start what is to be started."""
        if self.state == GAVE_UP:
            return
        if (
            self.coming is None
            and self.wanted
            and self.going is None
            and not (self.applying and self.serving)
        ):
            wished = self.wanted not in self.failed
            if (
                now >= self._again_us
                if self.serving is None
                else self.serving.version != self.wanted and wished
            ):
                self._start(now, self.wanted if wished or not self.kept else self.kept)
        self.state = (
            APPLYING
            if self.applying and self.serving is not None
            else DRAINING
            if self.going is not None
            else REPLACING
            if self.coming is not None and self.serving is not None
            else STARTING
            if self.coming is not None
            else RUNNING
            if self.serving is not None
            else WAITING
            if self.wanted
            else EMPTY
        )

    def _start(self, now: int, version: str) -> None:
        self.runs += 1
        self.coming = Process(self.runs, version, now)
        self._acts.append(Start(self.runs, version))
