// Checks that every test listed in KNOWN-RED.txt, the list of known failures, exists, and prints the list.
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);
const titles = existsSync(knownRedFile)
	? readFileSync(knownRedFile, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];
const testDeclarations = execFileSync('git', ['grep', '-hE', String.raw`\b(it|describe)\(|name: '`, '--', '*.ts'], {encoding: 'utf8'});
// The title of a scenario with real processes is its name, a colon and the failure that it guards against.
const missingTitles = titles.filter(title => !testDeclarations.includes(title) && !testDeclarations.includes(`name: '${title.split(':')[0]}'`));
for (const title of titles) {
	console.log(`known red: ${title}`);
}

if (missingTitles.length > 0) {
	console.error(`KNOWN-RED.txt names tests that do not exist: ${missingTitles.join('; ')}`);
	process.exitCode = 1;
}
