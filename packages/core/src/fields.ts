/** A decoded JSON object. */
export type Fields = Readonly<Record<string, unknown>>;

/** @returns The value as an object; empty for anything else. */
export function asFields(value: unknown): Fields {
	return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Fields : {};
}

/** @returns The value as a list; empty for anything else. */
export function asList(value: unknown): readonly unknown[] {
	return Array.isArray(value) ? value : [];
}

/** @returns The value if it is text, otherwise the fallback. */
export function textOr(value: unknown, fallback: string): string {
	return typeof value === 'string' ? value : fallback;
}

/** @returns The value if it is a finite number, otherwise the fallback. */
export function numberOr(value: unknown, fallback: number): number {
	return typeof value === 'number' && Number.isFinite(value) ? value : fallback;
}

/** @returns Whether the value is a text. */
export function isText(value: unknown): value is string {
	return typeof value === 'string';
}

/** @returns Whether the value is an integer of at least `min`. */
export function isCount(value: unknown, min = 0): value is number {
	return typeof value === 'number' && Number.isSafeInteger(value) && value >= min;
}

/** Longest name of a host. */
const MAX_HOST_LENGTH = 253;

const ADDRESS_PATTERN = /^([\w.:\-]+):([1-9]\d{0,4})$/v;

/** @returns Whether the value is `host:port`, with a name or an IP address and a decimal port from 1 to 65,535. */
export function isAddress(value: unknown): value is string {
	const match = typeof value === 'string' ? ADDRESS_PATTERN.exec(value) : null;
	return match !== null && match[1]!.length <= MAX_HOST_LENGTH && Number(match[2]) < 65_536;
}
