// Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
import { Deployment, Recorder, seconds } from './deployment.es6';

/** Whether the disruption is to be injected: not with TROUBLE=0. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Thrown where the case cannot run, for instance because the deployment does not become healthy. */
export class CannotRun extends Error {}

/**
 * Starts a deployment of the site and runs `scenario`, which returns how the rule was broken, or null if it held. The
 * record is written to the file that the first argument names.
 */
export async function runCase(site, scenario) {
  const recorder = new Recorder(process.argv[2]);
  const deployment = new Deployment({ site, recorder });
  let code = 2;
  try {
    recorder.line(`TROUBLE=${hasTrouble ? 1 : 0}, ${site.controllers} controllers`);
    await deployment.start();
    if (!(await deployment.untilHealthy(20)))
      throw new CannotRun('not all controllers became healthy in 20 s');
    recorder.line('all controllers are healthy');
    const broken = await scenario(deployment, recorder);
    recorder.line(`controller processes that ended by themselves: ${deployment.endedByThemselves}`);
    recorder.line(broken === null ? 'THE RULE HELD' : `RULE BROKEN: ${broken}`);
    code = broken === null ? 0 : 1;
  } catch (error) {
    recorder.line(`THE CASE COULD NOT RUN: ${error instanceof CannotRun ? error.message : error.stack}`);
  } finally {
    await deployment.stop();
    recorder.line(`all processes have ended after ${seconds().toFixed(0)} s, exit code ${code}`);
  }
  process.exit(code);
}
