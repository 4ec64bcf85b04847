import {Buffer} from 'node:buffer';
import {createServer, request} from 'node:http';

export {setTimeout as sleep} from 'node:timers/promises';

/** Starts an HTTP server on a loopback address; a port of 0 takes a free one. */
export async function listen(serve, host = '127.0.0.1', port = 0) {
	const server = createServer((message, response) => {
		serve(message, response).catch(error => {
			console.error('stand-in failed', error);
			response.destroy();
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return {
		address: `${host}:${server.address().port}`,
		port: server.address().port,
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}

/** Reads a body; one that is not JSON counts as empty. */
export async function readJson(message) {
	const chunks = [];
	for await (const chunk of message) {
		chunks.push(chunk);
	}

	try {
		return JSON.parse(Buffer.concat(chunks).toString());
	} catch {
		return {};
	}
}

export function sendJson(response, status, body) {
	if (response.destroyed) {
		return;
	}

	const text = body === undefined ? '' : JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}

/** Sends one request, on a connection of its own unless an agent is given. Resolves to status and body, or to an error; never rejects. */
export async function call(address, {method = 'GET', path, headers = {}, body, timeoutMs = 3000, agent = false}) {
	const text = body === undefined ? undefined : JSON.stringify(body);
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const outgoing = request({
			host, port, method, path, agent,
			headers: {...headers, ...(text !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)})},
		}, async response => {
			try {
				resolve({status: response.statusCode, body: await readJson(response)});
			} catch (error) {
				resolve({error: error.message});
			}
		});
		outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('no answer in time')));
		outgoing.on('error', error => {
			resolve({error: error.message});
		});
		outgoing.end(text);
	});
}
