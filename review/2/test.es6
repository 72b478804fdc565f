import { jobBody, seconds, sleep } from '../lib/deployment.es6';
import { hasTrouble, runCase } from '../lib/run-case.es6';
import { tramacorte } from '../lib/sites.es6';

/** "a job about which no question is answered for 75 s counts as forgotten" */
const UNANSWERED_S = 75;
const END_S = 112;
const POLL_S = 5;
/** "`shards`: number of tasks, at most 100,000" */
const HUGE_ARRAY_TASKS = 100_000;
/** As the guest team's array on the same page's other site, `quiet-replays`: 12 CPUs, around 300 s. */
const HUGE_ARRAY = { vcpus: 12, memoryGb: 48, expectedS: 300 };

/** Asks about the job at all controllers until the case ends; the user's answers are noted in `answeredAt`. */
async function pollForever(deployment, id, answeredAt) {
  while (!deployment.isStopping) {
    const askedAt = seconds();
    const polls = deployment.nodes.map(async (node) => {
      const answer = await deployment.poll(node, id);
      if (answer?.status === 200) answeredAt.set(id, seconds());
    });
    await Promise.all(polls);
    await sleep(Math.max(0, POLL_S - (seconds() - askedAt)) * 1000);
  }
}

await runCase(tramacorte, async (deployment, recorder) => {
  const answeredAt = new Map();
  const services = ['equipa-pesquisa', 'equipa-arquivo', 'equipa-fusao'].map((tenant, i) =>
    jobBody({
      nameId: `wk-00000${i + 1}`,
      tenant,
      workload: 'recordlookup-service',
      shape: 'daemon',
      tier: 'production',
      vcpus: 5,
      cards: 1,
      memoryGb: 19,
      expectedS: 0,
    }),
  );
  for (const service of services) {
    await deployment.submitAccepted(service);
    answeredAt.set(service.nameId, seconds());
    void pollForever(deployment, service.nameId, answeredAt);
  }
  for (const { nameId } of services) await deployment.untilRunning(nameId, 1, 20);
  recorder.line('the three services run');

  if (hasTrouble)
    await deployment.submitAccepted(
      jobBody({
        nameId: 'wk-000100',
        tenant: 'univ-forense',
        workload: 'porting-sweep',
        tier: 'low',
        shards: HUGE_ARRAY_TASKS,
        loaner: true,
        ...HUGE_ARRAY,
      }),
      { runMs: HUGE_ARRAY.expectedS * 1000, isQuiet: true },
    );
  const acceptedAt = seconds();
  let broken = null;
  while (seconds() < END_S && broken === null) {
    await sleep(250);
    for (const [id, at] of answeredAt) {
      const unansweredS = seconds() - Math.max(at, acceptedAt);
      if (unansweredS > UNANSWERED_S)
        broken = `no question about ${id}, an accepted job that runs, was answered for ${unansweredS.toFixed(1)} s`;
    }
    if (deployment.endedByThemselves > 0) broken = 'a controller process ended by itself';
  }
  for (const { nameId } of services)
    recorder.line(`${nameId}: tasks on machines: ${deployment.running(nameId, 1)} of 1`);
  return broken;
});
