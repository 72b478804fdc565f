/** Machines whose tasks run slower than elsewhere. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SlowMachineDetector } from '../src/core/health/slow-machine-detector.js';
import { machineName, jobId } from '../src/core/model/ids.js';

test('a machine is slow when all its latest runs take much longer than usual for their class', () => {
  const s = new SlowMachineDetector({ factor: 1.7, runs: 3, samples: 8 });
  const good = machineName('n-1');
  const bad = machineName('n-2');
  let jobs = 0;
  const ran = (
    m: typeof good,
    jobClass: string,
    durationS: number,
    estimateS: number,
    job = `wk-${++jobs}`,
  ) => {
    s.recordRun(m, { job: jobId(job), jobClass, durationS, estimateS });
  };
  // Estimates are biased: everything takes half as long again.
  for (let i = 0; i < 8; i++) ran(good, 'a', 150 + i, 100);
  for (let i = 0; i < 2; i++) ran(bad, 'a', 310, 100);
  assert.equal(s.isSlow(bad), false, 'two runs may be chance');
  ran(bad, 'a', 310, 100);
  assert.equal(s.isSlow(bad), true);
  assert.equal(s.isSlow(good), false);
  ran(bad, 'a', 150, 100);
  assert.equal(s.isSlow(bad), false, 'it has recovered');
  ran(good, 'services', 500, 0);
  assert.equal(s.isSlow(good), false);

  // One job took three times its estimate, on every machine that ran it: that is no machine's fault.
  const many = [...Array(20).keys()].map((i) => machineName(`n-1${i}`));
  for (const m of many) {
    for (let i = 0; i < 3; i++) ran(m, 'a', 300 + i, 100, 'wk-long');
    assert.equal(s.isSlow(m), false, `${m} is no slower than its peers`);
  }
  const last = machineName('n-3');
  for (let i = 0; i < 3; i++) ran(last, 'a', 600, 100, 'wk-long');
  assert.equal(s.isSlow(last), true, 'slower than all others with the same job');
});
