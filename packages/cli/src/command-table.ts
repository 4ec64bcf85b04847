import type {Command} from '@oclif/core';
import {AnswerCommand} from './commands/answer.js';
import {ApplyCommand} from './commands/apply.js';
import {CancelCommand} from './commands/cancel.js';
import {DiffCommand} from './commands/diff.js';
import {DrainCommand} from './commands/drain.js';
import {ExplainCommand} from './commands/explain.js';
import {JobCommand} from './commands/job.js';
import {JobsCommand} from './commands/jobs.js';
import {RecordsCommand} from './commands/records.js';
import {StatusCommand} from './commands/status.js';
import {SubmitCommand} from './commands/submit.js';
import {WithdrawCommand} from './commands/withdraw.js';

/** Commands by name; oclif loads this table through `package.json`. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
	answer: AnswerCommand,
	apply: ApplyCommand,
	cancel: CancelCommand,
	diff: DiffCommand,
	drain: DrainCommand,
	explain: ExplainCommand,
	job: JobCommand,
	jobs: JobsCommand,
	records: RecordsCommand,
	status: StatusCommand,
	submit: SubmitCommand,
	withdraw: WithdrawCommand,
};
