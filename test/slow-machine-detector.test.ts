/**
 * Machines whose tasks run slower than elsewhere. Users' estimates are biased and a few runs may be slow by chance; a
 * detector misled by either would quarantine machines that are not slow.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SlowMachineDetector } from '../src/core/health/slow-machine-detector.js';
import { machineName, jobId } from '../src/core/model/ids.js';

test('a machine is slow if all its latest runs take much longer than other runs of their job or class', () => {
  const detector = new SlowMachineDetector({ factor: 1.7, latestRuns: 3, minSamples: 8 });
  const normalMachine = machineName('n-1');
  const slowMachine = machineName('n-2');
  let jobs = 0;
  const recordRun = (
    machine: typeof normalMachine,
    jobClass: string,
    durationS: number,
    estimateS: number,
    job = `wk-${++jobs}`,
  ) => {
    detector.recordRun(machine, { job: jobId(job), jobClass, durationS, estimateS });
  };
  // Estimates are biased: every run on a normal machine takes 1.5 times its estimate.
  for (let i = 0; i < 8; i++) recordRun(normalMachine, 'a', 150 + i, 100);
  for (let i = 0; i < 2; i++) recordRun(slowMachine, 'a', 310, 100);
  assert.equal(detector.isSlow(slowMachine), false, 'two slow runs may be chance');
  recordRun(slowMachine, 'a', 310, 100);
  assert.equal(detector.isSlow(slowMachine), true);
  assert.equal(detector.isSlow(normalMachine), false);
  recordRun(slowMachine, 'a', 150, 100);
  assert.equal(detector.isSlow(slowMachine), false, 'the latest run was not slow');
  recordRun(normalMachine, 'services', 500, 0);
  assert.equal(detector.isSlow(normalMachine), false);

  // One job took three times its estimate, on every machine that ran it: no machine is slow.
  const peers = [...Array(20).keys()].map((i) => machineName(`n-1${i}`));
  for (const machine of peers) {
    for (let i = 0; i < 3; i++) recordRun(machine, 'a', 300 + i, 100, 'wk-long');
    assert.equal(detector.isSlow(machine), false, `${machine} is no slower than its peers`);
  }
  const last = machineName('n-3');
  for (let i = 0; i < 3; i++) recordRun(last, 'a', 600, 100, 'wk-long');
  assert.equal(detector.isSlow(last), true, 'slower than all others with the same job');
});
