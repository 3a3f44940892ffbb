"""Messages by which entries take over the jobs of a lost entry."""

import dataclasses

from sardineroute_core import messages


@dataclasses.dataclass(frozen=True, slots=True)
class JobMark:
    """A submission to be remembered for `keep_ms`: job id and body digest."""

    job_id: str
    digest: bytes
    keep_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Witness:
    """Asks another entry to remember submissions before they start."""

    id: int
    marks: tuple[JobMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Witnessed:
    """Answers `Witness`; `accepted` is false if the marks don't fit."""

    id: int
    accepted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Reliance:
    """States that the receiver knows all submissions that the sender knows.

    The sender can't reach the entries with the incarnations `lost`. Up to the
    renewal `number` of its `session` it doesn't count on them to remember the
    submissions of its jobs, and remembers no submissions for them. Answered by
    `Witnessed`.
    """

    id: int
    session: str
    number: int
    lost: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Survey:
    """Asks another entry for all submissions it knows of in `partitions`."""

    id: int
    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Surveyed:
    """Answers `Survey`.

    `incarnation` is that of the answering entry. Losses of entries before the
    log offset `losses_before` are older than any submission that is still
    remembered. The answering entry holds the partitions `doubtful` by its
    claims at the log offsets `doubtful_epochs`, and may not know all
    submissions from before these claims. `kept` has the ids of jobs whose
    outcome it still has, and `reliances` has the `Reliance` messages that it
    received.
    """

    id: int
    incarnation: str
    losses_before: int
    doubtful: tuple[int, ...]
    doubtful_epochs: tuple[int, ...]
    marks: tuple[JobMark, ...]
    kept: tuple[str, ...]
    reliances: tuple[Reliance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Promise:
    """Asks another entry not to end a session for `for_ms` from now on."""

    id: int
    session: str
    for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Promised:
    """Answers `Promise`."""

    id: int
    given: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AskPartition:
    """Asks a sidecar for the jobs of a partition that it started tasks of.

    From then on the sidecar refuses starts in the partition with a lower
    epoch, so that its answer stays valid. If `job` is set, asks for the tasks
    of that job only.
    """

    id: int
    partition: int
    epoch: int
    job: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionTasks:
    """Answers `AskPartition`.

    If the request named no job, `jobs` has all job ids. Otherwise `digest` is
    the digest of the job's body, and `ended` and `running` have its tasks.
    """

    id: int
    jobs: tuple[str, ...]
    digest: bytes
    ended: tuple[messages.Result, ...]
    running: tuple[messages.Running, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Recall:
    """Asks a job's former home entry for the outcome that it still has."""

    id: int
    job: str
