#!/usr/bin/env node
import process from 'node:process';
import {runQuickstart} from './quickstart.js';

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

try {
	const isAsExpected = await runQuickstart(print);
	print(isAsExpected ? 'Every job ended as expected.' : 'Some jobs did not end as expected.');
	process.exitCode = isAsExpected ? 0 : 1;
} catch (error) {
	print(`The quickstart failed: ${error instanceof Error ? error.message : String(error)}`);
	process.exitCode = 1;
}
