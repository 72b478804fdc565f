/** A controller is restarted: can the room on its machines still be used for another team's job? */
import { poll, require, runCase, sleep, submitAccepted, type Verdict } from '../lib-2/case.js';
import type { Deployment } from '../lib-2/deployment.js';
import { submission, tramacorte } from '../lib-2/sites.js';

const FIRST = 'wk-000001';
const SERVICE = 'wk-000002';
const WAITING = 'wk-000003';
/** The bound of the rule: no job waits for this long while a machine that fits has room. */
const BOUND_S = 90;
/** A process that has ended is now and then started again within a fraction of a second. */
const RESTART_MS = 500;

const replicasRunning = ({ fleet }: Deployment): number =>
  fleet
    .workers()
    .flatMap((w) => [...w.tasks.values()].filter((t) => t.id === SERVICE && t.state === 'running')).length;

/** Two whole machines run a task each, so that both are up and known before the service is submitted. */
async function runFirstJob(deployment: Deployment): Promise<void> {
  const whole = { shards: 2, vcpus: 14, cards: 2, memoryGb: 51, loaner: false, pullGb: 0.1, expectedS: 1 };
  const job = { tenant: 'equipa-fusao', workload: 'cdr-reindex', tier: 'standard', ...whole };
  await submitAccepted(deployment, submission(FIRST, job), 1000);
  const isDone = async () => (await poll(deployment, 'teller-0', FIRST)).standing === 'done';
  require(await deployment.until('the first job is done', isDone, 20_000), 'the first job did not end');
  await sleep(2500);
}

async function runService(deployment: Deployment): Promise<void> {
  const replicas = { shards: 2, vcpus: 5, cards: 1, memoryGb: 19, scatter: true, loaner: false, pullGb: 0.1 };
  const job = {
    tenant: 'equipa-fusao',
    workload: 'recordlookup-service',
    tier: 'production',
    shape: 'daemon',
  };
  await submitAccepted(deployment, submission(SERVICE, { ...job, ...replicas, expectedS: 0 }), 0);
  const areRunning = () => replicasRunning(deployment) === 2;
  require(await deployment.until('both replicas run', areRunning, 15_000), 'the replicas did not run');
  await sleep(1000);
}

/** Kills the controller that holds the shard of the service's team, and starts it again. */
async function restartHolder(deployment: Deployment): Promise<void> {
  const { rows } = deployment.state;
  const { owner } = rows.get('p/t/equipa-fusao')!.value as { owner: string };
  const { holder } = rows.get(`p/o/${owner}`)!.value as { holder: string };
  await deployment.kill(holder);
  await sleep(RESTART_MS);
  deployment.startController(holder);
  const isHealthy = async () =>
    (await deployment.ask(holder, 'GET', '/healthz', undefined, 1000))?.status === 200;
  require(await deployment.until(`${holder} is healthy again`, isHealthy, 10_000), 'the restart failed');
  await sleep(3000);
}

/** Whether the job of the other team, which is within its guarantee, is done before the bound is over. */
async function runWaitingJob(deployment: Deployment): Promise<Verdict> {
  const { fleet, record } = deployment;
  const size = { vcpus: 6, cards: 1, memoryGb: 24, pullGb: 0.1, expectedS: 3 };
  const job = { tenant: 'equipa-arquivo', workload: 'cdr-reindex', tier: 'standard', ...size };
  await submitAccepted(deployment, submission(WAITING, job), 3000);
  const end = deployment.seconds() + BOUND_S + 1;
  while (deployment.seconds() < end) {
    const { status, standing } = await poll(deployment, 'teller-0', WAITING);
    const machines = fleet.workers().map((w) => `${w.name} has ${w.tasks.size} task(s)`);
    record(`${WAITING}: ${status} ${standing}; ${machines.join(', ')}`);
    if (standing === 'done') return 'held';
    await sleep(3000);
  }
  record(`${WAITING} has waited for ${BOUND_S} s. Each machine has 11 CPUs, 1 GPU and 45 GB left.`);
  return 'broken';
}

await runCase(tramacorte(2), async (deployment, trouble) => {
  await runFirstJob(deployment);
  await runService(deployment);
  if (trouble) await restartHolder(deployment);
  require(replicasRunning(deployment) === 2, 'the replicas do not run any more');
  return runWaitingJob(deployment);
});
