import {Buffer} from 'node:buffer';
import {Agent, request as sendRequest} from 'node:http';

/** @returns After this time. */
export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** @returns The decoded body; undefined if it is empty or not JSON. */
export async function readJson(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString());
	} catch {
		return undefined;
	}
}

/** Sends an answer with a JSON body. */
export function answerJson(response, status, body) {
	if (response.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

const agent = new Agent({keepAlive: false});

/**
 * Sends a request on a connection of its own.
 *
 * @returns Status and decoded body; status 0 when there is no answer in time.
 */
export async function call({ip, port, method, path, headers = {}, body, timeoutMs = 3000}) {
	return new Promise(resolve => {
		const text = body === undefined ? undefined : JSON.stringify(body);
		const outgoing = sendRequest({
			host: ip, port, method, path, agent, timeout: timeoutMs,
			headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		});
		const timer = setTimeout(() => {
			outgoing.destroy(new Error('no answer'));
		}, timeoutMs);
		outgoing.on('error', error => {
			clearTimeout(timer);
			resolve({status: 0, problem: error.code ?? error.message});
		});
		outgoing.on('response', async response => {
			try {
				const answer = await readJson(response);
				resolve({status: response.statusCode, body: answer});
			} catch (error) {
				resolve({status: 0, problem: error.code ?? error.message});
			}

			clearTimeout(timer);
		});
		outgoing.end(text);
	});
}
