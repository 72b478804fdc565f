/** The state service lowers its limits: do small single-task jobs still use the room of the machines? */
import { poll, runCase, sleep, submitAccepted } from '../lib-2/case.js';
import { submission, tramacorte } from '../lib-2/sites.js';

/** Run times of the guest team's class go up to 225 s. */
const RUN_MS = 200_000;
/** The bound of the rule: no job waits for this long while a machine that fits has room. */
const BOUND_S = 90;
/** One machine has room for 64 tasks of 0.25 CPUs and 0.9 GB. */
const JOBS = 24;
/** The limits that the page's site file announces and sets during a day. */
const LOWER = { rps: 150, writeRps: 42, valueKb: 2, txnOps: 10 };

const isTrouble = process.env['TROUBLE'] !== '0';
const options = { ...tramacorte(1), ...(isTrouble ? { nextState: LOWER } : {}) };

await runCase(options, async (deployment, trouble) => {
  const { fleet, record, state } = deployment;
  if (trouble) state.lower(LOWER);
  const ids = Array.from({ length: JOBS }, (_, i) => `wk-${String(i + 1).padStart(6, '0')}`);
  for (const id of ids) await submitAccepted(deployment, submission(id, { pullGb: 0.1 }), RUN_MS);
  const submittedAt = deployment.seconds();
  let waiting = ids;
  while (waiting.length > 0 && deployment.seconds() < submittedAt + BOUND_S + 2) {
    await sleep(3000);
    const onMachines = new Set(fleet.workers().flatMap((w) => [...w.tasks.values()].map((task) => task.id)));
    waiting = ids.filter((id) => !onMachines.has(id));
    record(`of ${ids.length} jobs ${onMachines.size} have their task on the machine, ${waiting.length} wait`);
  }
  const used = ids.length - waiting.length;
  record(`the machine uses ${used * 0.25} of 16 CPUs and ${(used * 0.9).toFixed(1)} of 64 GB`);
  for (const id of waiting.slice(0, 3)) {
    const seen = await poll(deployment, 'teller-0', id);
    record(`${id}: ${seen.status} ${seen.standing}, submitted more than ${BOUND_S} s ago`);
  }
  return waiting.length > 0 ? 'broken' : 'held';
});
