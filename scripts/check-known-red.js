// Checks that every test listed in KNOWN-RED.txt, the list of known failures, exists, and prints the list.
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync} from 'node:fs';
import process from 'node:process';

const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);
const titles = existsSync(knownRedFile)
	? readFileSync(knownRedFile, 'utf8').split('\n').filter(line => line.startsWith('test: ')).map(line => line.slice('test: '.length).trim())
	: [];
const testDeclarations = execFileSync('git', ['grep', '-hE', String.raw`\b(it|describe)\(|name: '`, '--', '*.ts'], {encoding: 'utf8'});
const templates = execFileSync('git', ['grep', '-oE', 'it[(]`[^`]*`', '--', '*.test.ts'], {encoding: 'utf8'}).trim().split('\n');
const titlesFromTemplates = new Set();
for (const line of templates) {
	const [file] = line.split(':', 1);
	const source = readFileSync(new URL(`../${file}`, import.meta.url), 'utf8');
	const [start, ...literals] = line.slice(line.indexOf('`') + 1, -1).split(/\$\{[^\}]*\}/v);
	for (const title of titles.filter(title => literals.length > 0 && title.startsWith(start))) {
		// Each further literal ends a text that stands for an expression, and that the file has to contain.
		let rest = title.slice(start.length);
		let isMade = true;
		for (const literal of literals) {
			const end = literal === '' ? rest.length : rest.indexOf(literal);
			isMade &&= end > 0 && source.includes(`'${rest.slice(0, end)}'`);
			rest = rest.slice(Math.max(0, end) + literal.length);
		}

		if (isMade && rest === '') {
			titlesFromTemplates.add(title);
		}
	}
}

// The title of a scenario with real processes is its name, a colon and the failure that it guards against.
const missingTitles = titles.filter(title => !testDeclarations.includes(title) && !titlesFromTemplates.has(title) && !testDeclarations.includes(`name: '${title.split(':')[0]}'`));
for (const title of titles) {
	console.log(`known red: ${title}`);
}

if (missingTitles.length > 0) {
	console.error(`KNOWN-RED.txt names tests that do not exist: ${missingTitles.join('; ')}`);
	process.exitCode = 1;
}
