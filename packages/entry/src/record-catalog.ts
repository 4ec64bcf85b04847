import {declaredRacksOf, schedulerConfigOf, type ConfigSnapshot} from '@amaranthsail/records';
import type {DeclaredRack, SchedulerConfig} from '@amaranthsail/scheduler';
import type {Catalog, ServiceEntry} from './catalog.js';

/** The catalog of one configuration snapshot. */
export class RecordCatalog implements Catalog {
	readonly #snapshot: ConfigSnapshot;

	/**
	 * @param snapshot - The configuration in force.
	 */
	constructor(snapshot: ConfigSnapshot) {
		this.#snapshot = snapshot;
	}

	get revision(): number {
		return this.#snapshot.revision;
	}

	service(name: string): ServiceEntry | undefined {
		const spec = this.#snapshot.records.Service.get(name);
		return spec && {operations: new Map(Object.entries(spec.operations))};
	}

	hasAccount(name: string): boolean {
		return this.#snapshot.records.ClientAccount.has(name);
	}

	mayCall(account: string, service: string): boolean {
		const services = this.#snapshot.records.ClientAccount.get(account)?.services;
		return services === undefined || services.includes(service);
	}

	failureDomains(): readonly string[] {
		return [...this.#snapshot.records.FailureDomain.keys()];
	}

	racksOf(failureDomain: string): readonly DeclaredRack[] {
		return declaredRacksOf(this.#snapshot, failureDomain);
	}

	guaranteedAccelerators(account: string, failureDomain: string): number {
		let total = 0;
		for (const guarantee of this.#snapshot.records.Guarantee.values()) {
			if (guarantee.account === account && guarantee.failureDomain === failureDomain) {
				total += guarantee.accelerators * guarantee.count;
			}
		}

		return total;
	}

	schedulerConfigOf(failureDomain: string): SchedulerConfig {
		return schedulerConfigOf(this.#snapshot, failureDomain);
	}
}
