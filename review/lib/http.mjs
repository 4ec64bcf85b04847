/* eslint no-await-in-loop: "off" -- as in the other programs of the project */
import {Buffer} from 'node:buffer';
import {request} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

export {setTimeout as sleep} from 'node:timers/promises';

/**
 * Starts a server.
 *
 * @param {import('node:http').Server} server - The server.
 * @param {string} host - Loopback address.
 * @param {number} port - Port; 0 for a free one.
 * @returns {Promise<string>} Its `host:port`.
 */
export async function listen(server, host = '127.0.0.1', port = 0) {
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** @returns {Promise<Record<string, unknown>>} The decoded body; empty if it cannot be read. */
export async function readJson(message) {
	const chunks = [];
	try {
		for await (const chunk of message) {
			chunks.push(chunk);
		}

		return chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
	} catch {
		return {};
	}
}

export function sendJson(response, status, body) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/**
 * Sends one request on a connection of its own.
 *
 * @param {string} address - `host:port`.
 * @param {{method: string, path: string, headers?: Record<string, string>, body?: unknown, timeoutMs: number}} call - The request.
 * @returns {Promise<{status?: number, body?: unknown, error?: string}>} The whole answer, or why there is none.
 */
export async function callJson(address, {method, path, headers = {}, body, timeoutMs}) {
	const [host, port] = address.split(':');
	const text = body === undefined ? '' : JSON.stringify(body);
	return new Promise(resolve => {
		const outgoing = request({
			host, port, method, path, agent: false, headers: {...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text)},
		});
		const timer = setTimeout(() => {
			resolve({error: `no answer within ${timeoutMs} ms`});
			outgoing.destroy();
		}, timeoutMs);
		const fail = error => {
			clearTimeout(timer);
			resolve({error: error.code ?? error.message});
		};

		outgoing.on('error', fail);
		outgoing.on('response', async response => {
			response.on('error', fail);
			const answer = await readJson(response);
			clearTimeout(timer);
			if (response.complete) {
				resolve({status: response.statusCode, body: answer});
			}
		});
		outgoing.end(text);
	});
}

/**
 * Waits until a condition holds.
 *
 * @param {() => unknown} condition - May be asynchronous.
 * @param {number} withinMs - Longest wait.
 * @returns {Promise<boolean>} Whether it holds.
 */
export async function until(condition, withinMs) {
	const endMs = Date.now() + withinMs;
	while (Date.now() < endMs) {
		if (await condition()) {
			return true;
		}

		await sleep(20);
	}

	return false;
}
