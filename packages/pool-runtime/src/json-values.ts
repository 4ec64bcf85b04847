const QUOTE = 0x22;
const COMMA = 0x2C;
const OPEN_LIST = 0x5B;
const BACKSLASH = 0x5C;
const OPEN_OBJECT = 0x7B;

/**
 * Counts the values of a JSON text without parsing it: list elements, object members, lists and objects. The count of a
 * valid text is never below the number of its values by more than one.
 *
 * @param parts - The text as consecutive UTF-8 parts.
 * @returns The number.
 */
export function countJsonValues(parts: Iterable<Uint8Array>): number {
	let values = 0;
	let isInText = false;
	let isEscaped = false;
	for (const part of parts) {
		for (const byte of part) {
			if (isInText) {
				if (isEscaped) {
					isEscaped = false;
				} else if (byte === BACKSLASH) {
					isEscaped = true;
				} else if (byte === QUOTE) {
					isInText = false;
				}
			} else if (byte === QUOTE) {
				isInText = true;
			} else if (byte === COMMA || byte === OPEN_LIST || byte === OPEN_OBJECT) {
				values++;
			}
		}
	}

	return values;
}
