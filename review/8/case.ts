/** A gang waits for more machines than the cloud has: do other jobs use the machines that are up meanwhile? */
import { poll, require, runCase, sleep, submitAccepted } from '../lib-2/case.js';
import { submission, tramacorte } from '../lib-2/sites.js';

const FIRST = 'wk-000001';
const GANG = 'wk-000002';
const WAITING = 'wk-000003';
const TEAM = 'equipa-pesquisa';
/** The bound of the rule: no job waits for this long while a machine that fits has room. */
const BOUND_S = 90;

await runCase(tramacorte(2), async (deployment, trouble) => {
  const { fleet, record } = deployment;
  const array = { tenant: TEAM, workload: 'cdr-reindex', tier: 'standard', loaner: false, pullGb: 0.1 };
  const whole = { shards: 2, vcpus: 14, memoryGb: 51, expectedS: 1 };
  await submitAccepted(deployment, submission(FIRST, { ...array, ...whole }), 1000);
  const isFirstDone = async () => (await poll(deployment, 'teller-0', FIRST)).standing === 'done';
  require(await deployment.until('the first job is done', isFirstDone, 15_000), 'the first job did not end');
  if (trouble) {
    const gang = {
      tenant: TEAM,
      workload: 'number-graph',
      tier: 'standard',
      shape: 'ensemble',
      loaner: false,
    };
    const tasks = { shards: 900, vcpus: 1, memoryGb: 3.2, pullGb: 0.1, expectedS: 20 };
    await submitAccepted(deployment, submission(GANG, { ...gang, ...tasks }), 20_000);
    await sleep(9500);
  }
  await submitAccepted(
    deployment,
    submission(WAITING, { ...array, vcpus: 6, memoryGb: 24, expectedS: 3 }),
    3000,
  );
  const end = deployment.seconds() + BOUND_S + 1;
  while (deployment.seconds() < end) {
    await sleep(3000);
    const { status, standing } = await poll(deployment, 'teller-0', WAITING);
    const machines = fleet.workers().map((w) => `${w.name} has ${w.tasks.size} task(s)`);
    record(`${WAITING}: ${status} ${standing}; ${machines.join(', ')}`);
    if (standing === 'done') return 'held';
  }
  record(`${WAITING} has waited for ${BOUND_S} s, while the machines had nothing to do`);
  return 'broken';
});
