/** Runs one case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
import { Deployment, type DeploymentOptions } from './deployment.js';
import { type Json } from './json-http.js';

/** How a case ended. */
export type Verdict = 'broken' | 'held' | 'not run';

const EXIT_CODES: Record<Verdict, number> = { held: 0, broken: 1, 'not run': 2 };
/** Most time that a case may take; the run script ends it a little later. */
const MAX_CASE_MS = 117_000;

export const sleep = (ms: number) => new Promise<void>((resolve) => setTimeout(resolve, ms));

/** Thrown where a step that must succeed before the disruption did not: the case could not run. */
export class NotRunError extends Error {}

/** Fails the case as not run unless the condition holds. */
export function require(condition: boolean, what: string): void {
  if (!condition) throw new NotRunError(what);
}

/** What a user sees of a job. */
export interface Standing {
  readonly status: number;
  readonly standing: string;
}

/** Asks one controller for a job, as a user does; status 0 without an answer. */
export async function poll(deployment: Deployment, node: string, id: string): Promise<Standing> {
  const reply = await deployment.ask(node, 'GET', `/v1/jobs/${id}`, undefined, 2000);
  const { standing } = (reply?.body ?? {}) as { standing?: string };
  return { status: reply?.status ?? 0, standing: standing ?? '' };
}

/** Submits a job and records the answer; the case could not run if it is not accepted. */
export async function submitAccepted(deployment: Deployment, body: Json, runMs: number): Promise<void> {
  const answer = await deployment.submit(body, runMs);
  deployment.record(`submitted ${JSON.stringify(body)}`);
  deployment.record(`  ${answer}`);
  require(/ 20[01] /.test(answer), `${String(body['nameId'])} was not accepted: ${answer}`);
}

/** Runs a case with a deployment of its own; `trouble` is false where the disruption is to be left out. */
export async function runCase(
  options: DeploymentOptions,
  play: (deployment: Deployment, trouble: boolean) => Promise<Verdict>,
): Promise<never> {
  const trouble = process.env['TROUBLE'] !== '0';
  process.once('SIGTERM', () => process.exit(EXIT_CODES['not run']));
  process.once('SIGINT', () => process.exit(EXIT_CODES['not run']));
  const deployment = new Deployment(options, process.argv[2] ?? 'record.txt');
  deployment.record(trouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  let verdict: Verdict = 'not run';
  try {
    await deployment.start();
    verdict = await Promise.race([
      play(deployment, trouble),
      sleep(MAX_CASE_MS).then(() => 'not run' as const),
    ]);
  } catch (error) {
    deployment.record(`could not run: ${error instanceof Error ? error.message : String(error)}`);
  }
  await deployment.stop();
  deployment.record(`verdict: ${verdict}`);
  process.exit(EXIT_CODES[verdict]);
}
