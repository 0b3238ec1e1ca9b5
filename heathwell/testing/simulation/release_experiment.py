"""Releases good and bad over brokers of figures alone, for the judge and the course: seeded, on virtual time.

Each broker has arrivals, a usual worth by class, troubles shared by its zone, processor and memory; a version
has a defect or none. The course is the real one, and so is the judge: only what brokers did is drawn. Beside
the course stand what it is compared with: all at once, stages that nobody judges, stages judged by fixed
thresholds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import numpy as np

from heathwell.fleet.rollout import (
    FINAL_STATES,
    RESTART_SUFFIX,
    BrokerWindow,
    Plan,
    QueryStatistics,
    RolloutController,
    RolloutEvent,
    RolloutState,
    Stage,
)

CLASSES = {"price-search": (0.45, 0.985), "day-report": (0.2, 0.95), "sale-record": (0.35, 0.99)}
DEFECTS = (
    "no start",
    "dies",
    "drops held",
    "worse class",
    "processor",
    "leak",
    "stall",
    "old wire",
    "false digest",
)
POLICIES = ("judged", "all at once", "unjudged stages", "thresholds")
WINDOW_US = 2_000_000
REPLACE_US = 4_000_000
THRESHOLD = 0.93  # of all queries' worth: a usual 0.98, and some room


@dataclass(slots=True)
class Outcome:
    """How one release went: ``stopped`` by itself, at which stage, what it cost in broker-minutes of worth
    lost against the old version, and how long it took (s).
    """

    defect: str
    policy: str
    stopped: bool
    stage: int
    lost: float
    seconds: float
    why: str


class Releases:
    """One release over a fleet of figures."""

    def __init__(
        self,
        seed: int,
        defect: str = "",
        *,
        brokers: int = 89,
        zones: int = 9,
        rate: float = 130.0,
        plan: Plan | None = None,
        policy: str = "judged",
    ) -> None:
        self.draw = np.random.default_rng(seed)
        self.choice = random.Random(seed)
        self.defect, self.policy = defect, policy
        self.zones = {f"b{n}": f"z{n % zones}" for n in range(brokers)}
        shares = self.draw.gamma(3.0, 1.0, brokers)  # some brokers see several times the mean
        self.rates = dict(zip(self.zones, rate * shares / shares.sum(), strict=True))
        self.plan = plan or Plan(
            (
                Stage(0.0, 30_000_000, 60_000_000),
                Stage(0.05, 60_000_000, 120_000_000),
                Stage(0.25, 120_000_000, 600_000_000, require_proof=True),
                Stage(1.0, 20_000_000, 20_000_000),
            ),
            max_concurrent=8,
        )
        if policy == "all at once":
            self.plan = Plan(
                (Stage(1.0, 20_000_000, 20_000_000),), max_zone_fraction=1.0, max_concurrent=brokers
            )
        self.course = RolloutController(
            "c", "old", "new", self.zones, self.plan, window_duration_us=WINDOW_US
        )
        self.runs = dict.fromkeys(self.zones, "old")
        self.since = dict.fromkeys(self.zones, -10_000_000_000)
        self.busy: dict[str, int] = {}
        self.wished: dict[str, str] = {}
        self.bad_class = self.choice.choice(list(CLASSES))
        self.now = 0
        self.seen = [0.0, 0.0]  # of changed brokers in this stage: asked, worth (for fixed thresholds)
        self.lost = 0.0
        self.shock = dict.fromkeys(sorted(set(self.zones.values())), 0.0)
        self.trouble_at = self.choice.randrange(30, 400) * 1_000_000 if self.choice.random() < 0.3 else -1
        self.trouble_zone = self.choice.choice(sorted(self.shock))

    def run(self) -> Outcome:
        """To its end, or half an hour."""
        course = self.course
        course.apply_event(RolloutEvent.STARTED)
        course.apply_event(RolloutEvent.PREFLIGHT_PASSED)
        stage = 0
        while course.state not in FINAL_STATES and self.now < 1_800_000_000:
            stage = max(stage, course.stage)
            self._replace()
            failed = [
                name
                for name, want in self.wished.items()
                if want != "old"
                and name not in self.busy
                and (self._cannot_start() or self.defect == "drops held" and want == "new" + RESTART_SUFFIX)
            ]
            course.observe_versions(self.runs, failed)
            windows = self._window()
            self._judge(windows)
            self.now += WINDOW_US
            if course.state == RolloutState.HELD and not course.held_for_fault:
                break  # it asks for an operator
        return Outcome(
            self.defect,
            self.policy,
            course.state in (RolloutState.ROLLING_BACK, RolloutState.ROLLED_BACK, RolloutState.HELD),
            stage,
            self.lost / 60,
            self.now / 1e6,
            course.reason,
        )

    def _cannot_start(self) -> bool:
        return self.defect in (
            "no start",
            "false digest",
        )  # an agent sees either before the old one is asked to end

    def _judge(self, windows: list[BrokerWindow]) -> None:
        course = self.course
        if self.policy == "judged":
            course.observe_window(windows)
        elif course.state == RolloutState.OBSERVING:
            stage = self.plan.stages[course.stage]
            course.observed_duration_us += WINDOW_US
            if self.policy == "thresholds":
                self.seen[0] += sum(t.queries for w in windows if w.is_canary for t in w.classes.values())
                self.seen[1] += sum(t.goodput for w in windows if w.is_canary for t in w.classes.values())
                bad = self.seen[0] >= 50 and self.seen[1] < THRESHOLD * self.seen[0]
                if bad or any(w.unexpected_exits or w.silent for w in windows if w.is_canary):
                    course.apply_event(RolloutEvent.REGRESSED, "under a threshold")
                    return
            if course.observed_duration_us >= stage.min_duration_us:
                self.seen = [0.0, 0.0]
                last = self.plan.is_last(course.stage)
                event = RolloutEvent.LAST_STAGE_PASSED if last else RolloutEvent.STAGE_PASSED
                course.apply_event(event, "its time was over")

    def _replace(self) -> None:
        for name, at in list(self.busy.items()):
            if self.now >= at:
                del self.busy[name]
                if self.wished[name] == "old" or not self._cannot_start():
                    self.runs[name], self.since[name] = self.wished[name], self.now
        for name, version in self.course.next_updates(self.runs, set(self.busy)).items():
            if name not in self.busy and not (self.wished.get(name) == version and self._cannot_start()):
                self.busy[name] = self.now + REPLACE_US
                self.wished[name] = version

    # What brokers do.

    def _window(self) -> list[BrokerWindow]:
        for zone in self.shock:
            self.shock[zone] = 0.8 * self.shock[zone] + float(self.draw.normal(0, 0.004))
        in_trouble = 0 <= self.trouble_at <= self.now < self.trouble_at + 30_000_000
        return [self._one(name, zone, in_trouble) for name, zone in self.zones.items()]

    def _one(self, name: str, zone: str, in_trouble: bool) -> BrokerWindow:
        new, age = self.runs[name] != "old", (self.now - self.since[name]) / 1e6
        defect = self.defect if new else ""
        loss = abs(self.shock[zone]) + (
            0.5 if in_trouble and zone == self.trouble_zone else 0.05 if in_trouble else 0.0
        )
        gone = defect == "stall" and age > 20 or defect == "old wire"
        deaths = int(defect == "dies" and int(age // 5) != int((age - WINDOW_US / 1e6) // 5) and age > 0)
        drops = defect == "drops held" and name in self.busy
        asked = self.draw.poisson(
            self.rates[name] * WINDOW_US / 1e6 * np.array([s for s, _ in CLASSES.values()])
        )
        classes, plain = {}, 0.0
        for (query_class, (_, usual)), count in zip(CLASSES.items(), asked, strict=True):
            chance = max(0.0, usual - loss)
            bad = (
                0.0
                if gone
                else chance * (0.5 if deaths or drops else 1.0)
                - (0.03 if defect == "worse class" and query_class == self.bad_class else 0.0)
            )
            worth = float(self.draw.binomial(int(count), max(0.0, bad)))
            plain += chance * count - max(0.0, bad) * count
            if count:
                classes[query_class] = QueryStatistics(int(count), worth, int(worth), int(count - worth))
        per_broker = self.rates[name] * WINDOW_US / 1e6
        self.lost += plain / max(per_broker, 1e-9) * WINDOW_US / 1e6
        cpu = sum(t.queries for t in classes.values()) * 900 * (2.0 if defect == "processor" else 1.0)
        memory = 60e6 + float(self.draw.normal(0, 1e6)) + (0.4e6 * age if defect == "leak" else 0.0)
        return BrokerWindow(
            name,
            zone,
            new,
            classes,
            int(cpu * self.draw.lognormal(0, 0.1)),
            int(memory),
            deaths,
            silent=defect == "stall" and age > 20,
        )


def play(seed: int, defect: str = "", policy: str = "judged") -> Outcome:
    """One release."""
    return Releases(seed, defect, policy=policy).run()
