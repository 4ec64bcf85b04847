import type {ByteBudget} from './byte-budget.js';
import type {ListenerLimits} from './listener-limits.js';

/** Heap of a request in progress without header fields and body. */
export const REQUEST_BYTES = 8192;

/** Heap of a name or a value of a header field. */
export const HEADER_TEXT_BYTES = 48;

/** What a connection needs from its server. */
export type ConnectionContext = {
	readonly limits: ListenerLimits;
	readonly budget: ByteBudget;
	/** Clock of the server, in milliseconds; does not advance while the process is suspended. */
	readonly nowMs: () => number;
	/** Receives the reason for which the connection was closed. */
	readonly onClosed: (reason: string) => void;
	/** Receives the reason for which a request was refused. */
	readonly onRefused: (reason: string) => void;
};
