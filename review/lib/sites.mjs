/* eslint camelcase: "off" -- names of the settings */
const COMMON = {
	seedLagS: 3,
	addressReuseS: 2,
	contactMs: 3000,
	ackTimeoutMs: 4000,
	catchUpS: 4,
	drainMs: 2000,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 2000,
	rollbackSlackMs: 250,
	maxStretchMs: 5000,
	revokeMs: 5000,
	recoveryS: 12,
	gangTimeoutMs: 3000,
	cancel_ms: 3000,
	visible_ms: 3000,
	early_ms: 250,
	finish_s: 14,
	status_s: 120,
	remoteFactor: 3,
	checkpointIntervalS: 2,
	noticeMs: 4500,
	leaseMs: 3000,
	fencingEnforced: true,
};

/** Bounds of the small deployments, as their pages name them. */
export const SITES = {
	'cespiti-sail': {
		...COMMON, maxHoldMs: 10_000, stopTimeoutMs: 200, restoreMs: 600, reclaimMs: 2700,
	},
	'vsc-repairs': {
		...COMMON, maxHoldMs: 6000, stopTimeoutMs: 900, restoreMs: 100, reclaimMs: 3400,
	},
};
