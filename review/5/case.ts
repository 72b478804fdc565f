/** A restarted controller is refused by the state service alone: does it hold workers that it may not command? */
import { require, runCase, sleep, submitAccepted } from '../lib-2/case.js';
import type { Deployment } from '../lib-2/deployment.js';
import type { Json } from '../lib-2/json-http.js';
import { submission, tramacorte } from '../lib-2/sites.js';

const SERVICE = 'wk-000001';
/** A process that has ended is now and then started again within a fraction of a second. */
const RESTART_MS = 500;
const TEAMS = ['equipa-pesquisa', 'equipa-arquivo', 'equipa-fusao'];
const WATCHED_S = 60;

/** Whether the transaction acquires the controller's own shard. */
const acquiresShard = (node: string, transaction: Json): boolean =>
  ((transaction['then'] ?? []) as Json[]).some(({ write }) => write === `p/o/${node}`);

/** The team whose shard is held by the leader. */
function teamOfLeader({ state }: Deployment): string | undefined {
  const leader = (state.rows.get('p/leader')?.value as { node: string } | undefined)?.node;
  const isOfLeader = (team: string) =>
    (state.rows.get(`p/t/${team}`)?.value as { owner: string } | undefined)?.owner === leader;
  return TEAMS.find(isOfLeader);
}

async function runService(deployment: Deployment, tenant: string): Promise<void> {
  const replicas = { shards: 4, vcpus: 5, cards: 1, memoryGb: 19, scatter: true, loaner: false, pullGb: 0.1 };
  const job = {
    tenant,
    workload: 'recordlookup-service',
    tier: 'production',
    shape: 'daemon',
  };
  await submitAccepted(deployment, submission(SERVICE, { ...job, ...replicas, expectedS: 0 }), 0);
  const replicasRunning = () => deployment.fleet.workers().reduce((sum, { tasks }) => sum + tasks.size, 0);
  const areRunning = () => replicasRunning() === 4;
  require(await deployment.until('all replicas run', areRunning, 20_000), 'the replicas did not run');
  await sleep(4000);
}

function recordFleet({ fleet, record }: Deployment, holder: string): void {
  record(`the shard is held by ${holder}`);
  for (const { name, node, mandate, tasks, dropped, leasesLost } of fleet.workers()) {
    const lower = [...dropped].map(([from, count]) => `${count} by ${from}`).join(', ') || 'none';
    const state = `${tasks.size} task(s), highest token ${mandate}, leases lost ${leasesLost}`;
    record(`  ${name}: ${state}, reports to ${node}, answers 200 with a lower token: ${lower}`);
  }
}

await runCase(tramacorte(4), async (deployment, trouble) => {
  const { fleet, record, state } = deployment;
  const isAssigned = () => teamOfLeader(deployment) !== undefined;
  require(await deployment.until('the leader has a team', isAssigned, 5000), 'the teams were not assigned');
  const team = teamOfLeader(deployment)!;
  await runService(deployment, team);
  const { owner } = state.rows.get(`p/t/${team}`)!.value as { owner: string };
  const holderNow = () => (state.rows.get(`p/o/${owner}`)!.value as { holder: string }).holder;
  const restarted = holderNow();
  let killed = 0;
  fleet.onTask = ({ kind, machine, task, cause }) => {
    record(`${machine}: ${kind} of ${task} ${cause}`);
    if (cause === 'lease' || cause === 'gone') killed++;
  };
  if (trouble) deployment.refusesAfter = (node, txn) => node === restarted && acquiresShard(node, txn);
  await deployment.kill(restarted);
  await sleep(RESTART_MS);
  deployment.startController(restarted);
  const end = deployment.seconds() + WATCHED_S;
  while (deployment.seconds() < end) {
    await sleep(3000);
    if (trouble) record(`the state service refuses ${[...deployment.refused].join() || 'nobody'}`);
    recordFleet(deployment, holderNow());
  }
  require(!trouble || deployment.refused.size === 1, 'the controller did not acquire its shard');
  const dropped = fleet.workers().some((worker) => (worker.dropped.get(restarted) ?? 0) > 0);
  record(`replicas killed: ${killed}; a worker got 200 with a lower token from ${restarted}: ${dropped}`);
  return killed > 0 ? 'broken' : 'held';
});
