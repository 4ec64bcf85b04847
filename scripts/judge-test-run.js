// Decides on a failed test run: it passes only if every failed test is listed in KNOWN-RED.txt.
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const log = readFileSync(process.argv[2], 'utf8');
const file = new URL('../KNOWN-RED.txt', import.meta.url);
const known = new Set(existsSync(file)
	? readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: []);
const summary = log.slice(Math.max(0, log.lastIndexOf(' failing\n')));
const count = Number(/(\d+) failing\n/v.exec(log)?.[1] ?? 0);
// The summary numbers each failure; its last title ends with a colon.
const failed = summary.split(/\n {2}\d+\) /v).slice(1).map(text => {
	const titles = text.split('\n').map(line => line.trim());
	return (titles.find(line => line.endsWith(':')) ?? '').slice(0, -1);
});
const unknown = failed.filter(title => !known.has(title));
for (const title of failed.filter(title => known.has(title))) {
	console.log(`known red, failed in this run: ${title}`);
}

if (count === 0 || failed.length !== count || unknown.length > 0) {
	console.error(`failed and not known: ${unknown.join('; ') || 'the run did not end with a summary'}`);
	process.exitCode = 1;
}
