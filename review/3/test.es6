import { jobBody, seconds, sleep } from '../lib/deployment.es6';
import { hasTrouble, runCase } from '../lib/run-case.es6';
import { tramacorteGrown } from '../lib/sites.es6';

/** "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit" */
const WAITING_S = 90;
const END_S = 112;
const POLL_S = 5;
/** The site's days have up to 9 machines that fail every task, for up to 150 s. */
const SICK_MACHINES = 2;
const MAX_SICK_S = 15;
const WATCHED = 'wk-000010';

const service = (nameId, fields) =>
  jobBody({
    nameId,
    tenant: 'equipa-fusao',
    workload: 'recordlookup-service',
    shape: 'daemon',
    tier: 'production',
    vcpus: 5,
    cards: 1,
    memoryGb: 19,
    expectedS: 0,
    ...fields,
  });
const watched = service(WATCHED, { shards: 2, scatter: true });

/** The machines that are up, with the tasks that they hold. */
function machinesUp(deployment) {
  return [...deployment.cloud.machines.values()]
    .filter(({ worker }) => worker !== null && !worker.hasEnded)
    .map(({ worker, name, vault }) => ({
      name,
      vault,
      type: worker.type,
      tasks: [...worker.tasks.values()].filter(({ standing }) => standing !== 'ended'),
    }));
}

/** A machine on which one more task of the watched job fits, by resources and by `scatter`; undefined if none does. */
function machineWithRoom(deployment) {
  const machines = machinesUp(deployment);
  const tasksPerZone = new Map();
  for (const { vault, tasks } of machines) {
    const count = tasks.filter(({ shard }) => shard.startsWith(`${WATCHED}/`)).length;
    tasksPerZone.set(vault, (tasksPerZone.get(vault) ?? 0) + count);
  }
  return machines.find(({ vault, type, tasks }) => {
    if (tasksPerZone.get(vault) >= Math.ceil(watched.shards / 2)) return false;
    return ['vcpus', 'cards', 'memoryGb'].every(
      (field) => tasks.reduce((sum, { job }) => sum + job.body[field], watched[field]) <= type[field],
    );
  });
}

/** For a while, the first `SICK_MACHINES` machines that start a task fail every task that they start. */
function startSickness(deployment, recorder) {
  const sick = new Set();
  const trouble = { sick, until: seconds() + MAX_SICK_S };
  deployment.isSick = ({ name }) => {
    if (seconds() >= trouble.until) return false;
    if (sick.size < SICK_MACHINES && !sick.has(name)) {
      sick.add(name);
      recorder.line(`${name} fails every task that it starts from now on`);
    }
    return sick.has(name);
  };
  return trouble;
}

await runCase(tramacorteGrown, async (deployment, recorder) => {
  // Four machines of the team's, two in each zone, each with room for one replica of the watched service.
  const others = ['wk-000001', 'wk-000002', 'wk-000003', 'wk-000004'];
  for (const [i, id] of others.entries()) {
    const vault = i < 2 ? 'lisboa-a' : 'porto-b';
    await deployment.submitAccepted(service(id, { vault, vcpus: 9, memoryGb: 30 }));
  }
  for (const id of others) await deployment.untilRunning(id, 1, 20);

  const trouble = hasTrouble ? startSickness(deployment, recorder) : null;
  await deployment.submitAccepted(watched);
  if (trouble !== null) {
    while (seconds() < trouble.until && trouble.sick.size < SICK_MACHINES) await sleep(50);
    if (trouble.sick.size < SICK_MACHINES) throw new Error('too few tasks were started during the trouble');
    await sleep(1500);
    trouble.until = seconds();
    recorder.line(`the trouble is over: ${[...trouble.sick].join(' ')} run tasks again`);
  }

  const overAt = seconds();
  let waitingSince = null;
  let nextPollAt = 0;
  while (seconds() < END_S) {
    await sleep(250);
    const isWaiting = deployment.running(WATCHED, watched.shards) < watched.shards;
    const machine = isWaiting ? machineWithRoom(deployment) : undefined;
    waitingSince = machine === undefined ? null : (waitingSince ?? seconds());
    const waitedS = waitingSince === null ? 0 : seconds() - Math.max(waitingSince, overAt);
    if (waitedS > WAITING_S)
      return `a task of ${WATCHED} has waited for ${waitedS.toFixed(1)} s with room on ${machine.name}; equipa-fusao uses ${others.length + deployment.running(WATCHED, watched.shards)} of 900 GPUs`;
    if (seconds() < nextPollAt) continue;
    nextPollAt = seconds() + POLL_S;
    await deployment.poll(deployment.nodes[Math.floor(Math.random() * deployment.nodes.length)], WATCHED);
    const running = deployment.running(WATCHED, watched.shards);
    recorder.line(`${WATCHED}: ${running} of 2 tasks on machines, room on ${machine?.name ?? 'no machine'}`);
  }
  return null;
});
