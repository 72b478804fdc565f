import { jobBody, seconds, sleep } from '../lib/deployment.es6';
import { hasTrouble, runCase } from '../lib/run-case.es6';
import { tramacorteNext } from '../lib/sites.es6';

/** "Responses typically take under 10 ms, and now and then a few hundred." */
const SLOW_ANSWER_MS = 300;
/** The page allows a controller 3 s from the end of a job's last task until it calls the job done; the test waits longer. */
const DONE_WITHIN_S = 75;
const END_S = 112;
const FIRST = 'wk-000001';
const SECOND = 'wk-000002';
const RUNNING = 'wk-000003';
const LATER = 'wk-000004';

const job = (nameId, fields) =>
  jobBody({
    nameId,
    tenant: 'equipa-fusao',
    workload: 'ingest-parse',
    tier: 'low',
    memoryGb: 3.2,
    expectedS: 15,
    ...fields,
  });

/**
 * A user cancels the two jobs of a pipeline one after the other: the request for the second one is sent when the state
 * service gets the transaction that ends the first one. With trouble that transaction takes `SLOW_ANSWER_MS`.
 */
async function cancelPipeline(deployment, recorder) {
  const secondAnswered = new Promise((resolve) => {
    deployment.state.delayMs = (name, body) => {
      if (!(body?.then ?? []).some(({ write }) => write === `f/${FIRST}`)) return 0;
      deployment.state.delayMs = undefined;
      const delayMs = hasTrouble ? SLOW_ANSWER_MS : 0;
      recorder.line(`${name} -> state service: the end of ${FIRST}; carried out after ${delayMs} ms`);
      const node = deployment.nodes.find((other) => other.name === name);
      resolve(deployment.abort(SECOND, node));
      return delayMs;
    };
  });
  const standings = await Promise.all([deployment.abort(FIRST, deployment.nodes[0]), secondAnswered]);
  recorder.line(`the pipeline is cancelled: ${FIRST} ${standings[0]}, ${SECOND} ${standings[1]}`);
}

await runCase(tramacorteNext, async (deployment, recorder) => {
  await deployment.submitAccepted(job(FIRST), { runMs: 600_000 });
  await deployment.submitAccepted(job(SECOND, { workload: 'dedupe-sweep', awaits: [FIRST] }), {
    runMs: 5000,
  });
  await deployment.submitAccepted(job(RUNNING), { runMs: 600_000 });
  await deployment.untilRunning(FIRST, 1, 20);
  await deployment.untilRunning(RUNNING, 1, 20);
  await cancelPipeline(deployment, recorder);

  // The same team goes on working: another job is submitted, and a running one is cancelled.
  let doneAt = null;
  const onExit = deployment.onExit.bind(deployment);
  deployment.onExit = (worker, task, cause) => {
    onExit(worker, task, cause);
    if (task.shard === `${LATER}/0` && cause === 'done') doneAt ??= seconds();
  };
  await deployment.submitAccepted(job(LATER), { runMs: 2000 });
  let cancelledAt = null;
  const abortedAt = seconds();
  void deployment.abort(RUNNING, deployment.nodes[0]).then((standing) => {
    if (standing !== null) cancelledAt = seconds();
  });
  let reportedAt = null;
  const isOver = () => (reportedAt !== null && cancelledAt !== null) || seconds() > END_S;
  while (!isOver() && (doneAt === null || seconds() - doneAt <= DONE_WITHIN_S)) {
    for (const answer of await Promise.all(deployment.nodes.map((node) => deployment.poll(node, LATER))))
      if (answer?.status === 200 && answer.body.standing === 'done') reportedAt ??= seconds();
    await sleep(2500);
  }
  recorder.line(
    cancelledAt === null
      ? `${RUNNING}: its cancellation was not confirmed in ${(seconds() - abortedAt).toFixed(1)} s; tasks on machines: ${deployment.running(RUNNING, 1)}`
      : `${RUNNING}: its cancellation was confirmed after ${(cancelledAt - abortedAt).toFixed(1)} s`,
  );
  if (doneAt === null) throw new Error(`the task of ${LATER} did not complete`);
  if (reportedAt === null)
    return `the only task of ${LATER} completed ${(seconds() - doneAt).toFixed(1)} s ago, and no controller calls the job done`;
  recorder.line(`${LATER}: called done ${(reportedAt - doneAt).toFixed(1)} s after its task completed`);
  return null;
});
