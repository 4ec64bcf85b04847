// Judges the log of a failed test run: exits with 0 only if every failed test is listed in KNOWN-RED.txt.
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const log = readFileSync(process.argv[2], 'utf8');
const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);
const knownTitles = new Set(existsSync(knownRedFile)
	? readFileSync(knownRedFile, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: []);
const summary = log.slice(Math.max(0, log.lastIndexOf(' failing\n')));
const failedCount = Number(/(\d+) failing\n/v.exec(log)?.[1] ?? 0);
// The summary numbers each failure and lists the titles of its suites and test; that of the test ends with a colon.
const failedTitles = summary.split(/\n {2}\d+\) /v).slice(1).map(text => {
	const titles = text.split('\n').map(line => line.trim());
	return (titles.find(line => line.endsWith(':')) ?? '').slice(0, -1);
});
const unknownTitles = failedTitles.filter(title => !knownTitles.has(title));
for (const title of failedTitles.filter(title => knownTitles.has(title))) {
	console.log(`known red, failed in this run: ${title}`);
}

if (failedCount === 0 || failedTitles.length !== failedCount || unknownTitles.length > 0) {
	console.error(`failed and not known: ${unknownTitles.join('; ') || 'the run did not end with a summary'}`);
	process.exitCode = 1;
}
