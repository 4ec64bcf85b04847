/** How often an agent reports to the owner of its failure domain. */
export const HEARTBEAT_INTERVAL_MS = 1000;

/** Unanswered heartbeats after which an agent looks for another owner. */
export const HEARTBEATS_BEFORE_REDISCOVERY = 2;

/** A task runs at most this long after its agent sent the last acknowledged heartbeat. Longer than an owner takeover, so that a takeover stops no task. */
export const TASK_LEASE_MS = 10_000;

/** Added to the lease before a silent agent's tasks count as stopped: time for the worker to stop a task, and clock drift. */
export const FENCE_MARGIN_MS = 1500;

/** A worker that is silent for this long gets no new work. */
export const WORKER_SUSPECT_MS = 3000;

/** How often an owner renews its ownership row. */
export const OWNERSHIP_RENEWAL_INTERVAL_MS = 500;

/** How long an owner counts itself valid after sending the last confirmed renewal. */
export const OWNERSHIP_VALIDITY_MS = 2500;

/** An ownership row unchanged for this long may be claimed. Longer than the validity, so that the old owner has stopped first. */
export const OWNERSHIP_CLAIM_AFTER_MS = 3000;

/** How long an owner that cannot reach the store keeps extending leases of running tasks. */
export const LEASE_EXTENSION_LIMIT_MS = 900_000;

/** How often an agent asks the entries for a higher epoch while its owner is degraded. */
export const DEGRADED_REDISCOVERY_INTERVAL_MS = 2000;

/** How often an endpoint announces itself to the agent beside it. */
export const ANNOUNCEMENT_INTERVAL_MS = 1000;

/** An endpoint without an announcement for this long counts as leaving. */
export const ANNOUNCEMENT_TIMEOUT_MS = 3000;

/** How often each entry reads the head of the configuration log. */
export const CONFIG_POLL_INTERVAL_MS = 1000;

/** Time that an owner collects decisions before it writes them in one transaction. */
export const DECISION_BATCH_MS = 20;

/** How often an owner scans the index of open jobs for notifications that were lost. */
export const OPEN_JOBS_SCAN_INTERVAL_MS = 2000;

/** Time a task gets to write a checkpoint before it is stopped for a reclaim. */
export const CHECKPOINT_GRACE_MS = 5000;

/** Time a worker takes at most to stop a task. */
export const TASK_STOP_MS = 1000;

/** Attempts of one job on distinct workers before it counts as unable to run. */
export const MAX_ATTEMPTS = 3;

/** Failures of different jobs in a row, without a success, that quarantine a worker. */
export const QUARANTINE_AFTER_FAILURES = 3;

/** First delay before a quarantined worker is probed with one job; it doubles up to the maximum. */
export const QUARANTINE_PROBE_MS = 30_000;

/** Longest delay between two probes of a quarantined worker. */
export const QUARANTINE_PROBE_MAX_MS = 600_000;

/** Largest datagram between agent and owner; fits the usual Ethernet MTU with headers. */
export const MAX_DATAGRAM_BYTES = 1200;
