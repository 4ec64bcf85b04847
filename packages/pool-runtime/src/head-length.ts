import {Buffer} from 'node:buffer';

/** @returns Length of what has been received up to the empty line that ends the head of a request, or -1. */
export function headLengthOf({buffer, byteOffset, byteLength}: Uint8Array): number {
	const received = Buffer.from(buffer, byteOffset, byteLength);
	const withReturn = received.indexOf('\n\r\n');
	const withoutReturn = received.indexOf('\n\n');
	if (withReturn === -1 || (withoutReturn !== -1 && withoutReturn < withReturn)) {
		return withoutReturn === -1 ? -1 : withoutReturn + 2;
	}

	return withReturn + 3;
}
