import {expect} from 'chai';
import {OWNERSHIP_CLAIM_TIMEOUT_MS, OWNERSHIP_VALIDITY_MS} from '@amaranthsail/core';
import type {Row} from '@amaranthsail/backing-services';
import {MemoryTables} from './memory-tables.js';
import {OwnershipManager, type OwnershipEffect, type OwnershipEvent, type WriteResult} from '@amaranthsail/owner';
import {claimDelayMs} from '@amaranthsail/owner/claim-preference.js';

const DOMAINS = ['catania', 'palermo', 'siracusa'].map(failureDomain => ({failureDomain, region: 'sicily'}));

type Entry = {
	readonly manager: OwnershipManager; readonly validUntilMs: Map<string, number>; readonly claims: Array<Extract<OwnershipEffect, {readonly kind: 'claimed'}>>;
	isPaused: boolean; writeDelayMs: number; readonly pending: Array<{readonly atMs: number; readonly event: OwnershipEvent}>;
};

/** Runs managers on one store and one virtual clock. Checks that no two entries have a valid ownership of one failure domain at once. */
class ManagerSimulation {
	nowMs = 0;
	readonly tables = new MemoryTables();
	readonly entries: Entry[] = [];
	#nextId = 0;

	addEntry(processId: string, failureDomain = 'catania', domains = DOMAINS): Entry {
		const manager = new OwnershipManager({
			processId, region: 'sicily', failureDomain, datagramAddress: {host: processId, port: 2}, controlAddress: {host: processId, port: 1}, newId: () => {
				this.#nextId += 1;
				return `w${this.#nextId}`;
			},
		});
		const entry: Entry = {
			manager, validUntilMs: new Map(), claims: [], isPaused: false, writeDelayMs: 0, pending: [],
		};
		this.entries.push(entry);
		this.handleEvent(entry, {kind: 'configure', domains});
		return entry;
	}

	handleEvent(entry: Entry, event: OwnershipEvent): void {
		this.#applyEffects(entry, entry.manager.handle(event, this.nowMs));
	}

	run(durationMs: number): void {
		for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
			this.nowMs += 10;
			for (const entry of this.entries.filter(({isPaused}) => !isPaused)) {
				for (const {event} of entry.pending.filter(({atMs}) => atMs <= this.nowMs)) {
					this.handleEvent(entry, event);
				}

				entry.pending.splice(0, entry.pending.length, ...entry.pending.filter(({atMs}) => atMs > this.nowMs));
				this.#applyEffects(entry, entry.manager.tick(this.nowMs));
			}

			for (const {failureDomain} of DOMAINS) {
				const validEntries = this.entries.filter(entry => (entry.validUntilMs.get(failureDomain) ?? 0) > this.nowMs);
				expect(validEntries.length, `owners of ${failureDomain} at ${this.nowMs}`).to.be.at.most(1);
			}
		}
	}

	/** Advances time until a renewal of an entry is unanswered. Discards its pending events and returns the write ids of such renewals. */
	takePendingRenewals(entry: Entry): readonly string[] {
		for (;;) {
			const writeIds = entry.pending.flatMap(({event}) => event.kind === 'writeResult' ? [event.writeId] : []);
			if (writeIds.length > 0) {
				entry.pending.splice(0);
				return writeIds;
			}

			this.run(10);
		}
	}

	ownedDomains(entry: Entry): readonly string[] {
		return DOMAINS.map(({failureDomain}) => failureDomain).filter(name => entry.manager.heldEpoch(name) !== undefined);
	}

	#applyEffects(entry: Entry, effects: readonly OwnershipEffect[]): void {
		for (const effect of effects) {
			switch (effect.kind) {
				case 'scan': {
					const isDown = this.tables.fault === 'down';
					const rows = (table: string): readonly Row[] => DOMAINS.flatMap(({failureDomain}) => this.tables.row(table, failureDomain) ?? []);
					entry.pending.push({
						atMs: this.nowMs + 10, event: isDown
							? {kind: 'scanFailed'}
							: {
								kind: 'scanned', sentAtMs: this.nowMs, ownership: rows('ownership'), renewals: rows('owner_renewals'),
							},
					});
					break;
				}

				case 'write': {
					const result = this.tables.apply(effect.transaction);
					entry.pending.push({
						atMs: this.nowMs + 10 + entry.writeDelayMs, event: {
							kind: 'writeResult', failureDomain: effect.failureDomain, writeId: effect.transaction.writeId, result: toWriteResult(result),
						},
					});
					break;
				}

				case 'claimed': {
					entry.claims.push(effect);
					break;
				}

				case 'validity': {
					entry.validUntilMs.set(effect.failureDomain, effect.validity.kind === 'valid' ? effect.validity.validUntilMs : 0);
					break;
				}
			}
		}
	}
}

function toWriteResult(result: ReturnType<MemoryTables['apply']>): WriteResult {
	if (result.ok) {
		return {kind: 'committed', versions: result.value};
	}

	switch (result.error.kind) {
		case 'condition_failed': {
			return {kind: 'conditionFailed', failed: result.error.failed};
		}

		case 'outcome_unknown': {
			return {kind: 'unknown', message: ''};
		}

		case 'unavailable':
		case 'rejected': {
			return {kind: 'unavailable', message: ''};
		}
	}
}

describe('OwnershipManager', () => {
	// Guards against one entry that owns all failure domains while others own none.
	it('spreads failure domains over the entries that start together', () => {
		const simulation = new ManagerSimulation();
		const entries = ['entry-1', 'entry-2', 'entry-3'].map((processId, index) => simulation.addEntry(processId, DOMAINS[index]!.failureDomain));
		simulation.run(3000);
		expect(entries.map(entry => simulation.ownedDomains(entry).length)).to.deep.equal([1, 1, 1]);
		expect(entries.flatMap(({claims}) => claims.map(({epoch}) => epoch))).to.deep.equal([1, 1, 1]);
	});

	// Guards against a claim while the previous owner's validity lasts, and against a paused owner that continues when it resumes.
	it('claims the failure domain of a paused owner after the claim time', () => {
		const simulation = new ManagerSimulation();
		const first = simulation.addEntry('entry-1', 'siracusa', DOMAINS.slice(0, 1));
		simulation.run(2000);
		const second = simulation.addEntry('entry-2', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		first.isPaused = true;
		const pausedAtMs = simulation.nowMs;
		simulation.run(6000);
		const [claim] = second.claims;
		expect(claim).to.include({failureDomain: 'catania', epoch: 2});
		expect(claim!.previous?.ownerId).to.equal('entry-1');
		expect(claim!.claimedAtMs - pausedAtMs).to.be.within(OWNERSHIP_VALIDITY_MS, OWNERSHIP_CLAIM_TIMEOUT_MS + 1500);
		first.isPaused = false;
		simulation.run(1000);
		expect(simulation.ownedDomains(first)).to.deep.equal([]);
		expect(simulation.ownedDomains(second)).to.deep.equal(['catania']);
	});

	// Guards against takeovers when the store becomes available again: no owner could renew, but none has failed.
	for (const phaseMs of [0, 100, 200, 300, 400]) {
		it(`keeps all owners through a store outage that ends ${phaseMs} ms into a scan interval`, () => {
			const simulation = new ManagerSimulation();
			const entries = ['entry-1', 'entry-2', 'entry-3'].map((processId, index) => {
				// With staggered starts, the entries scan and renew at different times.
				simulation.run(1170 * index);
				return simulation.addEntry(processId);
			});
			simulation.run(5000);
			const ownedBefore = entries.map(entry => simulation.ownedDomains(entry));
			simulation.tables.fault = 'down';
			simulation.run(20_000 + phaseMs);
			expect(entries.every(({validUntilMs}) => [...validUntilMs.values()].every(untilMs => untilMs < simulation.nowMs))).to.equal(true);
			simulation.tables.fault = 'none';
			simulation.run(10_000);
			expect(entries.map(entry => simulation.ownedDomains(entry))).to.deep.equal(ownedBefore);
			expect(entries.flatMap(({claims}) => claims)).to.have.length(3);
		});
	}

	// Guards against a claim that took effect but is forgotten because its acknowledgement was lost: the failure domain would have no owner.
	for (const fault of ['loseAcknowledgement', 'loseRequest'] as const) {
		it(`resolves a claim with an unknown outcome (${fault})`, () => {
			const simulation = new ManagerSimulation();
			const entry = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
			simulation.tables.fault = fault;
			simulation.run(1000);
			simulation.tables.fault = 'none';
			simulation.run(6000);
			expect(simulation.ownedDomains(entry)).to.deep.equal(['catania']);
			expect(entry.claims.map(({epoch}) => epoch)).to.deep.equal([1]);
			expect(entry.validUntilMs.get('catania')).to.be.above(simulation.nowMs);
		});
	}

	// Guards against a validity that counts from the answer to a slow renewal instead of from its sending.
	it('counts the validity from the sending of a renewal', () => {
		const simulation = new ManagerSimulation();
		const entry = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		entry.writeDelayMs = 1900;
		simulation.run(5000);
		expect(entry.validUntilMs.get('catania')! - simulation.nowMs).to.be.within(1, OWNERSHIP_VALIDITY_MS - 1900);
	});

	// Guards against a shutdown after which other entries have to wait for the claim time.
	it('lets another entry claim a released failure domain at once', () => {
		const simulation = new ManagerSimulation();
		const first = simulation.addEntry('entry-1', 'siracusa', DOMAINS.slice(0, 1));
		simulation.run(2000);
		const second = simulation.addEntry('entry-2', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		simulation.handleEvent(first, {kind: 'drain'});
		simulation.handleEvent(first, {kind: 'release'});
		simulation.run(1000);
		expect(simulation.ownedDomains(second)).to.deep.equal(['catania']);
		expect(second.claims[0]).to.include({epoch: 2, previous: undefined});
		simulation.run(500);
		expect(first.manager.ownerOf('catania')?.ownerId).to.equal('entry-2');
	});

	// Guards against a released failure domain that its last owner claims again before others can, and against one that stays without an owner.
	it('claims a failure domain that it has released only when no other entry does', () => {
		const simulation = new ManagerSimulation();
		const entry = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		simulation.handleEvent(entry, {kind: 'release', failureDomain: 'catania'});
		simulation.run(2900);
		expect(simulation.ownedDomains(entry)).to.deep.equal([]);
		simulation.run(1500);
		expect(simulation.ownedDomains(entry)).to.deep.equal(['catania']);
		expect(entry.claims.map(({epoch}) => epoch)).to.deep.equal([1, 2]);
	});

	// Guards against an entry that continues to send after it has confirmed a step-down.
	it('drops its ownership for a higher epoch only', () => {
		const simulation = new ManagerSimulation();
		const entry = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		simulation.handleEvent(entry, {kind: 'stepDown', failureDomain: 'catania', epoch: 1});
		expect(simulation.ownedDomains(entry)).to.deep.equal(['catania']);
		simulation.handleEvent(entry, {kind: 'stepDown', failureDomain: 'catania', epoch: 2});
		expect(simulation.ownedDomains(entry)).to.deep.equal([]);
		expect(entry.validUntilMs.get('catania')).to.equal(0);
	});

	// Guards against a former owner that continues although its renewal has failed.
	it('drops its ownership when a renewal fails its condition', () => {
		const simulation = new ManagerSimulation();
		const entry = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		simulation.tables.apply({writeId: 'other', conditions: [], writes: [{table: 'ownership', key: 'catania', value: {epoch: 2}}]});
		const [renewal] = simulation.takePendingRenewals(entry);
		simulation.handleEvent(entry, {
			kind: 'writeResult', failureDomain: 'catania', writeId: renewal!, result: {kind: 'conditionFailed', failed: [{table: 'ownership', key: 'catania', version: 1}]},
		});
		expect(simulation.ownedDomains(entry)).to.deep.equal([]);
		expect(entry.validUntilMs.get('catania')).to.equal(0);
	});

	// Guards against load figures that do not reach routing.
	it('publishes the load with the renewals', () => {
		const simulation = new ManagerSimulation();
		const first = simulation.addEntry('entry-1', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1000);
		const load = {
			waitingJobs: 3, idleAccelerators: 8, totalAccelerators: 16, largestFreeBlock: 4, waitingByAccount: {}, services: [],
		};
		simulation.handleEvent(first, {
			kind: 'load', failureDomain: 'catania', load, revision: 7,
		});
		const second = simulation.addEntry('entry-2', 'palermo', DOMAINS.slice(0, 1));
		simulation.run(1500);
		expect(second.manager.loads().get('catania')).to.deep.equal(load);
	});
});

describe('claimDelayMs', () => {
	const target = {failureDomain: 'catania', region: 'sicily'};
	const candidate = {
		processId: 'entry-1', region: 'sicily', failureDomain: 'palermo', ownedCount: 0,
	};
	const cases = [
		{name: 'inside the failure domain', worse: {...candidate, failureDomain: 'catania'}},
		{name: 'of another region', worse: {...candidate, region: 'viti-levu'}},
		{name: 'with one failure domain already', worse: {...candidate, ownedCount: 1}},
	];
	for (const {name, worse} of cases) {
		// Guards against a claim won by an entry that would be lost with the failure domain, is remote, or already owns others.
		it(`delays the claim of an entry ${name}`, () => {
			expect(claimDelayMs(worse, target)).to.be.above(claimDelayMs(candidate, target));
		});
	}
});
