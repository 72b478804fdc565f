/** A gang of 8,200 tasks completes: is it reported as done, and does its team's next job run? */
import { poll, require, runCase, sleep, submitAccepted } from '../lib-2/case.js';
import type { Deployment } from '../lib-2/deployment.js';
import { submission, tramacorte } from '../lib-2/sites.js';

const GANG = 'wk-000001';
const NEXT = 'wk-000002';
const TEAM = 'equipa-pesquisa';
/** A job may have 100,000 tasks. */
const TASKS = { withoutTrouble: 8000, withTrouble: 8200 };
/** The bound of the rule: no job waits for this long while a machine that fits has room. */
const BOUND_S = 90;

/** Polls both jobs at all controllers until each was reported as done, or the bound is over; returns when that was. */
async function pollUntilDone(deployment: Deployment, ids: readonly string[]): Promise<Map<string, number>> {
  const doneAt = new Map<string, number>();
  const end = deployment.seconds() + BOUND_S + 2;
  while (deployment.seconds() < end && doneAt.size < ids.length) {
    for (const node of deployment.controllers.keys())
      for (const id of ids) {
        const { status, standing } = await poll(deployment, node, id);
        deployment.record(`${node}: ${id} ${status} ${standing}`);
        if (standing === 'done' && !doneAt.has(id)) doneAt.set(id, deployment.seconds());
      }
    await sleep(4000);
  }
  return doneAt;
}

function recordErrors(deployment: Deployment): void {
  for (const node of deployment.controllers.keys()) {
    const errors = deployment.logOf(node).split('\n');
    const logged = errors.filter((line) => line.includes('"level":50'));
    deployment.record(`${node} logged ${logged.length} errors ${(logged[0] ?? '').slice(0, 200)}`);
  }
}

await runCase(tramacorte(28), async (deployment, trouble) => {
  const { fleet, record } = deployment;
  const shards = trouble ? TASKS.withTrouble : TASKS.withoutTrouble;
  const gang = { tenant: TEAM, workload: 'number-graph', tier: 'standard', shape: 'ensemble', shards };
  const small = { vcpus: 0.027, memoryGb: 0.1, pullGb: 0.1, expectedS: 5 };
  await submitAccepted(deployment, submission(GANG, { ...gang, ...small }), 5000);
  const isComplete = () => fleet.jobs.get(GANG)!.done.size === shards;
  const hasRun = await deployment.until('all tasks of the gang have completed', isComplete, 20_000);
  require(hasRun, 'the gang did not run');
  await submitAccepted(deployment, submission(NEXT, { tenant: TEAM, tier: 'urgent', pullGb: 0.1 }), 2000);
  const doneAt = await pollUntilDone(deployment, [GANG, NEXT]);
  const isIdle = [...fleet.workers()].every((w) => [...w.tasks.values()].every((t) => t.state === 'ended'));
  record(`${fleet.workers().length} machines are up; no task runs on them: ${isIdle}`);
  record(`${GANG}, a gang of ${shards} tasks that have completed: done at ${doneAt.get(GANG) ?? 'never'}`);
  record(`${NEXT}, the team's next job, one task of 0.25 CPUs: done at ${doneAt.get(NEXT) ?? 'never'}`);
  recordErrors(deployment);
  return doneAt.size < 2 ? 'broken' : 'held';
});
