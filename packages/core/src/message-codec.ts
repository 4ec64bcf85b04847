import {Buffer} from 'node:buffer';
import {createHmac, createSecretKey, timingSafeEqual, type KeyObject} from 'node:crypto';
import type {ControlMessage} from './messages.js';
import {err, ok, type Result} from './result.js';
import {MAX_DATAGRAM_BYTES} from './timing.js';

/** Version of the datagram format. */
export const PROTOCOL_VERSION = 1;

const MAC_BYTES = 16;
const HEADER_BYTES = 1 + MAC_BYTES;
const MESSAGE_TYPES: ReadonlySet<string> = new Set(['heartbeat', 'ack', 'command']);

/** Why a datagram was rejected. */
export type CodecError
	= | {readonly kind: 'too_short'; readonly lengthBytes: number}
		| {readonly kind: 'unsupported_version'; readonly version: number}
		| {readonly kind: 'bad_mac'}
		| {readonly kind: 'malformed'; readonly message: string};

/** Encodes and authenticates the datagrams between agent and owner. */
export class MessageCodec {
	/** Created once, because a key passed as text would be converted again for every datagram. */
	readonly #key: KeyObject;

	/**
	 * @param secret - The shared secret from the settings of all processes.
	 */
	constructor(secret: string) {
		this.#key = createSecretKey(Buffer.from(secret, 'utf8'));
	}

	/**
	 * Encodes a message as one datagram: version byte, truncated HMAC-SHA-256, JSON.
	 *
	 * @param message - The message to send.
	 * @returns The datagram; it may be longer than {@link MAX_DATAGRAM_BYTES}.
	 */
	encode(message: ControlMessage): Uint8Array {
		const body = Buffer.from(JSON.stringify(message), 'utf8');
		return Buffer.concat([Buffer.from([PROTOCOL_VERSION]), this.#mac(body), body]);
	}

	/**
	 * Authenticates and decodes a datagram.
	 *
	 * @param datagram - The received bytes.
	 * @returns The message, or the reason why the datagram is rejected.
	 */
	decode(datagram: Uint8Array): Result<ControlMessage, CodecError> {
		if (datagram.length <= HEADER_BYTES) {
			return err({kind: 'too_short', lengthBytes: datagram.length});
		}

		const version = datagram[0]!;
		if (version !== PROTOCOL_VERSION) {
			return err({kind: 'unsupported_version', version});
		}

		const body = datagram.subarray(HEADER_BYTES);
		if (!timingSafeEqual(datagram.subarray(1, HEADER_BYTES), this.#mac(body))) {
			return err({kind: 'bad_mac'});
		}

		try {
			const message = JSON.parse(Buffer.from(body).toString('utf8')) as ControlMessage;
			return MESSAGE_TYPES.has(message.type) ? ok(message) : err({kind: 'malformed', message: `unknown type ${String(message.type)}`});
		} catch (error) {
			return err({kind: 'malformed', message: String(error)});
		}
	}

	#mac(body: Uint8Array): Uint8Array {
		return createHmac('sha256', this.#key).update(body).digest().subarray(0, MAC_BYTES);
	}
}
