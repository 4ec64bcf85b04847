/** Timeout of a store read; the store answers within milliseconds unless it is slow. */
export const STORE_TIMEOUT_MS = 1500;
