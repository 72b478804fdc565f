/**
 * Dominant shares and the fitness H, checked against worked examples of "Multi-Resource Fair Allocation in
 * Heterogeneous Cloud Computing Systems". An error in them would favour some teams, or choose machines that fit badly.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { dominantShare, fitness, resourceShares, teamWeight } from '../src/core/model/dominant-share.js';
import { teamName } from '../src/core/model/ids.js';
import { capacityVector, demandVector, type ResourceVector } from '../src/core/model/resources.js';

const assertClose = (a: number, b: number) => {
  assert.ok(Math.abs(a - b) < 1e-9, `got ${a}, expected ${b}`);
};

test('the two users of Fig. 2 have the dominant shares of the paper', () => {
  const server1 = capacityVector(2, 12, 0);
  const server2 = capacityVector(12, 2, 0);
  const total: ResourceVector = [server1[0] + server2[0], server1[1] + server2[1], 0];
  const user1 = demandVector(0.2, 1, 0);
  const user2 = demandVector(1, 0.2, 0);
  const user1Shares = resourceShares(user1, total);
  assertClose(user1Shares[0], 1 / 70);
  assertClose(user1Shares[1], 1 / 14);
  assertClose(dominantShare(user1, total), 1 / 14);
  assertClose(dominantShare(user2, total), 1 / 14);
  // Ten tasks each give the share 5/7 of Fig. 4.
  assertClose(dominantShare(user1, total) * 10, 5 / 7);
});

test('the user of Fig. 1 has memory as its dominant resource', () => {
  const total = capacityVector(9, 18, 0);
  assertClose(dominantShare(demandVector(1, 4, 0), total), 2 / 9);
});

test('H prefers the server whose free resources have the proportions of the demand', () => {
  // Sec. 5.2: D = (1/10, 1/30); free (1/5, 1/15) gives 0, free (1/8, 1/4) gives 5/3.
  const total = capacityVector(600, 600, 0);
  const demand = demandVector(60, 20, 0);
  assertClose(fitness(demand, capacityVector(120, 40, 0), total), 0);
  assertClose(fitness(demand, capacityVector(75, 150, 0), total), 5 / 3);
});

test('H of a task without CPU is measured against its dominant resource', () => {
  const total = capacityVector(100, 100, 100);
  assertClose(fitness(demandVector(0, 10, 20), capacityVector(50, 10, 20), total), 2.5);
  assert.equal(fitness(demandVector(1, 1, 0), capacityVector(0, 5, 0), total), Number.POSITIVE_INFINITY);
});

test('a team is weighted by its guarantee, or by 1', () => {
  const team = (cpus: number, gpus: number) => ({
    name: teamName('a'),
    guarantee: capacityVector(cpus, 0, gpus),
    cpuQuota: null,
    gpuQuota: null,
  });
  assert.equal(teamWeight(team(0, 24)), 24);
  assert.equal(teamWeight(team(0, 0)), 1);
});
