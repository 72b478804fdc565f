// Settings of the operators' sites, with the numbers of their pages.

const g16 = {
  label: 'g16-lookup',
  vcpus: 16,
  cards: 2,
  memoryGb: 64,
  localGb: 100,
  fetchGbPerS: 0.3,
  rate: 6.4,
  spotPrice: 2.57,
  readyS: 25,
  vaults: ['lisboa-a', 'porto-b'],
};

/** Tramacorte's small deployment (BRIEF-pepperbank.md), with a guest team without a guarantee (kit/more/LATER.md). */
export const tramacorte = {
  controllers: 3,
  zones: ['lisboa-a', 'porto-b'],
  restartS: 6,
  types: [g16],
  /** Machines of each zone and kind (spot or ordinary). */
  capacity: 7,
  /** "at times machines are up within a second or two" (PROTOCOL-pepperbank.md, boot time). */
  bootMs: () => 1000 + 1000 * Math.random(),
  listLagS: 6,
  cloudRps: 2,
  timings: { reportS: 2.5, leaseS: 14, gangWaitS: 40, gangPeerS: 5, cancelS: 44 },
  state: { rps: 150, writeRps: 60, valueKb: 8, txnOps: 32 },
  quota: { cpu: 0.255, ramMb: 178, maxConnections: 1500 },
  teams: [
    { name: 'equipa-pesquisa', gpus: 8, gpusMax: 32 },
    { name: 'equipa-arquivo', gpus: 16, gpusMax: 32 },
    { name: 'equipa-fusao', gpus: 16, gpusMax: 40 },
    { name: 'univ-forense', gpus: 0, gpusMax: 0 },
  ],
};

/** Tramacorte's grown deployment (kit/next/LATER.md), with fewer machines. */
export const tramacorteGrown = {
  ...tramacorte,
  controllers: 5,
  teams: [
    { name: 'equipa-pesquisa', gpus: 250, gpusMax: 700 },
    { name: 'equipa-arquivo', gpus: 350, gpusMax: 600 },
    { name: 'equipa-fusao', gpus: 350, gpusMax: 900 },
  ],
};

/** Tramacorte's deployment with pipelines (kit/change/LATER.md), with fewer machines. */
export const tramacorteNext = {
  ...tramacorteGrown,
  state: {
    ...tramacorte.state,
    next: '[cluster.state.next]\nvalue_kb = 2.0\ntxn_ops = 10\nwrite_rps = 42.0',
  },
};
