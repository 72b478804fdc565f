/** A huge array of small tasks: can the workers still report what the controllers have placed on their machines? */
import { poll, runCase, sleep, submitAccepted } from '../lib-2/case.js';
import { submission, tramacorte } from '../lib-2/sites.js';

const ARRAY = 'wk-000001';
const RUN_MS = 30_000;
/** Tasks of the array: one machine has room for 1,600 of them; a job may have 100,000. */
const TASKS = { withoutTrouble: 700, withTrouble: 1200 };
/** More than twice what the array needs, and more than five leases. */
const BOUND_S = 80;
const MAX_BODY_BYTES = 64 * 1024;

await runCase(tramacorte(1), async (deployment, trouble) => {
  const { fleet, record } = deployment;
  const exits = new Map<string, number>();
  let starts = 0;
  fleet.onTask = ({ kind, cause }) => {
    if (kind === 'start') starts++;
    else exits.set(cause, (exits.get(cause) ?? 0) + 1);
  };
  const shards = trouble ? TASKS.withTrouble : TASKS.withoutTrouble;
  const small = { shards, vcpus: 0.01, memoryGb: 0.04, pullGb: 0.1, expectedS: 30 };
  await submitAccepted(deployment, submission(ARRAY, { workload: 'porting-sweep', ...small }), RUN_MS);
  const submittedAt = deployment.seconds();
  let isDone = false;
  while (!isDone && deployment.seconds() < submittedAt + BOUND_S) {
    await sleep(4000);
    const seen = await poll(deployment, 'teller-0', ARRAY);
    isDone = seen.standing === 'done';
    record(
      `${ARRAY}: ${seen.status} ${seen.standing}; tasks started ${starts}, ended ${JSON.stringify([...exits])}`,
    );
    for (const { name, tasks, largestReport, reportsHeldBack, leasesLost } of fleet.workers())
      record(
        `  ${name}: ${tasks.size} tasks, largest report ${largestReport} bytes, too large to send ${reportsHeldBack}, leases lost ${leasesLost}`,
      );
  }
  const lost = exits.get('lease') ?? 0;
  const oversized = fleet.workers().some(({ largestReport }) => largestReport > MAX_BODY_BYTES);
  record(
    `array of ${shards} tasks of 30 s each: ${fleet.jobs.get(ARRAY)!.done.size} completed, ${lost} killed with leases`,
  );
  return !isDone && lost > 0 && oversized ? 'broken' : 'held';
});
