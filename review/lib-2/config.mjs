/** Configuration of the operator with two queues for one service, and one account. */
export const CONFIG = {
	version: 4,
	routes: [
		{
			name: 'deprec', host: 'deprec.example', pathPrefix: '/deprec/', service: 'registro', kind: 'unsafe', timeoutMs: 3000, priority: 0, maxAttempts: 2, stretch: 1.5, targetLatencyMs: 250, public: false,
		},
		{
			name: 'dispose', host: 'dispose.example', pathPrefix: '/dispose/', service: 'registro', kind: 'unsafe', timeoutMs: 3000, priority: 1, maxAttempts: 3, stretch: 3, targetLatencyMs: 3000, public: false,
		},
	],
	services: [{
		name: 'registro', healthPath: '/health', maxConnections: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false,
	}],
	tenants: [{name: 'north', apiKeys: ['key-north'], guaranteed: {gpu: 8}}],
	limits: {
		maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
	},
};

export const KEY = 'key-north';

/** Capacity of a worker of the site cespiti-sail: 32 cores, 64 GB, 8 accelerators. */
export const CAPACITY = {cpu: 32_000, memoryRequestMb: 64_000, gpu: 8};
