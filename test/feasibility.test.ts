/**
 * What a job's own constraints allow. Guards against placing tasks where their job does not allow it, and against
 * accepting jobs that can never run.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  allowsMachine,
  checkFeasibility,
  maxTasksPerZone,
  requiredZone,
  zoneChoices,
} from '../src/core/jobs/feasibility.js';
import { teamName, typeName, zoneName } from '../src/core/model/ids.js';
import type { JobSpec } from '../src/core/model/jobs.js';
import { demandVector } from '../src/core/model/resources.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission } from './samples.js';
import { job } from './scheduling-samples.js';

const machine = { type: typeName('m'), zone: zoneName('a'), spot: false };
const spec = (fields: Record<string, unknown>) => job('wk-1', fields).spec;
const submittedSpec = (fields: Record<string, unknown>): JobSpec => jobFromWire(submission(fields) as never);

test('a job may use machines of its types, its zone and its billing kind', () => {
  assert.equal(allowsMachine(spec({}), machine), true);
  assert.equal(allowsMachine(spec({ flavors: ['m', 'l'] }), machine), true);
  assert.equal(allowsMachine(spec({ flavors: ['l'] }), machine), false);
  assert.equal(allowsMachine(spec({ vault: 'a' }), machine), true);
  assert.equal(allowsMachine(spec({ vault: 'b' }), machine), false);
  assert.equal(allowsMachine(spec({ loaner: false }), { ...machine, spot: true }), false);
  assert.equal(allowsMachine(spec({ loaner: true }), { ...machine, spot: true }), true);
  assert.equal(
    allowsMachine(spec({ loaner: true }), machine),
    true,
    'a job that may use spot machines may use others, too',
  );
});

test('a zone is chosen only for a job whose tasks must share one, and its allocated tasks determine which', () => {
  const [a, b] = [zoneName('a'), zoneName('b')];
  const oneZone = spec({ samePlace: true });
  assert.deepEqual(zoneChoices(oneZone, [b, a, b]), [a, b]);
  assert.deepEqual(zoneChoices(spec({}), [b, a, b]), [null]);
  assert.equal(requiredZone(oneZone, new Map([[a, 0] as const, [b, 2] as const])), b);
  assert.equal(requiredZone(oneZone, new Map()), null);
  assert.equal(requiredZone(spec({}), new Map([[b, 2]])), null);
});

test('whether a job can ever run is decided by team, machine type and quota', () => {
  const teams = new Map([
    [
      teamName('vision'),
      { name: teamName('vision'), guarantee: [0, 0, 0] as const, cpuQuota: null, gpuQuota: 4e6 },
    ],
  ]);
  const types = [
    {
      name: typeName('g8'),
      capacity: demandVector(96, 768, 8),
      price: 1,
      spotPrice: 1,
      bootS: 1,
      cacheGb: 1,
      fetchGbPerS: 1,
      zones: [zoneName('a')],
    },
  ];
  const verdict = (fields: Record<string, unknown>) => checkFeasibility(submittedSpec(fields), teams, types);
  assert.equal(verdict({ shape: 'sweep', shards: 50 }), 'ok');
  assert.equal(verdict({ tenant: 'nobody' }), 'unknown_team');
  assert.equal(verdict({ flavors: ['g9'] }), 'fits_no_type');
  assert.equal(verdict({ vcpus: 97 }), 'fits_no_type');
  assert.equal(verdict({ shape: 'sweep', vault: 'z' }), 'fits_no_type');
  assert.equal(verdict({ shape: 'ensemble', shards: 5 }), 'over_limit');
  assert.equal(verdict({ shape: 'ensemble', shards: 4 }), 'ok');
  assert.equal(verdict({ shape: 'daemon', shards: 5 }), 'over_limit');
  assert.equal(verdict({ shape: 'sweep', cards: 5 }), 'over_limit');
});

test('a spread job may have half of its tasks, rounded up, in one zone', () => {
  assert.equal(maxTasksPerZone(submittedSpec({ scatter: true, shards: 9 })), 5);
  assert.equal(maxTasksPerZone(submittedSpec({ scatter: true, shards: 1 })), 1);
  assert.equal(maxTasksPerZone(submittedSpec({ scatter: false, shards: 9 })), 9);
});
