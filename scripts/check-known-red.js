// Checks that KNOWN-RED.txt names only tests that exist, and prints them.
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const file = new URL('../KNOWN-RED.txt', import.meta.url);
const titles = existsSync(file)
	? readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];
const sources = execFileSync('git', ['grep', '-hE', String.raw`\b(it|describe)\(|name: '`, '--', '*.ts'], {encoding: 'utf8'});
// Scenarios with real processes are titled by their name, followed by what they guard against.
const missing = titles.filter(title => !sources.includes(title) && !sources.includes(`name: '${title.split(':')[0]}'`));
for (const title of titles) {
	console.log(`known red: ${title}`);
}

if (missing.length > 0) {
	console.error(`KNOWN-RED.txt names tests that do not exist: ${missing.join('; ')}`);
	process.exitCode = 1;
}
