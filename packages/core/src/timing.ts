/** Interval between the heartbeats of an agent to the owner of its failure domain. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** Number of consecutive unanswered heartbeats after which an agent searches for a new owner. */
export const MAX_UNANSWERED_HEARTBEATS = 2;

/** Time for which a task may continue to run after its agent sent the last acknowledged heartbeat. Longer than an owner takeover, so that a takeover stops no task. */
export const TASK_LEASE_MS = 10_000;

/** Added to the lease before the tasks of a silent agent are taken as stopped. Covers the time in which a worker stops a task, and clock drift. */
export const FENCE_MARGIN_MS = 1500;

/** Time without a heartbeat after which a worker is suspected and gets no new work. */
export const WORKER_SUSPECT_TIMEOUT_MS = 3000;

/** Interval at which an owner renews its ownership row. */
export const OWNERSHIP_RENEWAL_INTERVAL_MS = 500;

/** Time for which an owner may act after sending the last confirmed renewal. */
export const OWNERSHIP_VALIDITY_MS = 2500;

/** Time without a change after which an ownership row may be claimed. Longer than the validity, so that the old owner has stopped by then. */
export const OWNERSHIP_CLAIM_TIMEOUT_MS = 3000;

/** Longest time for which an owner that cannot reach the store renews the leases of running tasks. */
export const MAX_DEGRADED_LEASE_RENEWAL_MS = 900_000;

/** Interval at which an agent queries the entries for an owner with a higher epoch while its own owner is degraded. */
export const DEGRADED_REDISCOVERY_INTERVAL_MS = 2000;

/** Interval at which an endpoint announces itself to the agent on its VM. */
export const ANNOUNCEMENT_INTERVAL_MS = 1000;

/** Time without an announcement after which an endpoint is treated as leaving. */
export const ANNOUNCEMENT_TIMEOUT_MS = 3000;

/** Interval at which each entry polls the head of the configuration log. */
export const CONFIG_POLL_INTERVAL_MS = 1000;

/** Time for which an owner collects decisions before it writes them in one transaction. */
export const DECISION_BATCH_DELAY_MS = 20;

/** Interval at which an owner scans the index of open jobs for jobs whose notification was lost. */
export const OPEN_JOBS_SCAN_INTERVAL_MS = 2000;

/** Time that a task has to write a checkpoint before it is stopped for a reclaim. */
export const CHECKPOINT_GRACE_MS = 5000;

/** Longest time that a worker takes to stop a task. */
export const MAX_TASK_STOP_MS = 1000;

/** Number of failed attempts of a job, on distinct workers, after which the job fails as unable to run. */
export const MAX_ATTEMPTS = 3;

/** Number of consecutive failures of different jobs, without a success between them, after which a worker is quarantined. */
export const QUARANTINE_FAILURE_THRESHOLD = 3;

/** Delay before a quarantined worker is probed with one job. It doubles with each probe, up to the maximum. */
export const QUARANTINE_PROBE_DELAY_MS = 30_000;

/** Maximum delay between two probes of a quarantined worker. */
export const MAX_QUARANTINE_PROBE_DELAY_MS = 600_000;

/** Maximum size of a datagram between agent and owner; with headers it fits the usual Ethernet MTU. */
export const MAX_DATAGRAM_BYTES = 1200;
