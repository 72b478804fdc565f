/** Deployments of the cases: the limits and machines of the operators' pages, at a small size. */
import type { DeploymentOptions } from './deployment.js';

/** Three controllers of Tramacorte's deployment with the limits, machines and teams of its page. */
export const tramacorte = (capacity: number, bootMs = 1500): DeploymentOptions => ({
  nodes: 3,
  zones: ['lisboa-a', 'porto-b'],
  state: { rps: 150, writeRps: 60, valueKb: 8, txnOps: 32 },
  cloudRps: 2,
  listLagS: 6,
  cancelS: 44,
  teams: [
    { name: 'equipa-pesquisa', gpus: 8, gpusMax: 32 },
    { name: 'equipa-arquivo', gpus: 16, gpusMax: 32 },
    { name: 'equipa-fusao', gpus: 16, gpusMax: 40 },
    { name: 'univ-forense', gpus: 0, gpusMax: 0 },
  ],
  fleet: {
    type: { label: 'g16-lookup', vcpus: 16, cards: 2, memoryGb: 64, readyS: 25, fetchGbPerS: 0.3 },
    capacity,
    bootMs,
    timings: { reportS: 2.5, leaseS: 14, gangWaitS: 40, gangPeerS: 5 },
  },
});

/** A submission; the defaults are those of a single small task. */
export const submission = (
  nameId: string,
  fields: Record<string, unknown> = {},
): Record<string, unknown> => ({
  nameId,
  workload: 'hash-probes',
  tenant: 'univ-forense',
  shape: 'sweep',
  tier: 'low',
  shards: 1,
  vcpus: 0.25,
  cards: 0,
  memoryGb: 0.9,
  bundle: 'img-01',
  pullGb: 0.5,
  flavors: null,
  vault: null,
  samePlace: false,
  scatter: false,
  loaner: true,
  expectedS: 150,
  snapshotEveryS: 0,
  snapshotS: 0,
  dueS: null,
  ...fields,
});
