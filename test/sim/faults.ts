/** Troubles of seeded runs: one at random each time. */
import type { Worker } from './agents-and-cloud.js';
import type { Node } from './simulated-controller.js';
import type { Sim } from './simulation.js';
import { NODES, ZONES } from './sizes.js';

/** What a trouble may concern. */
interface Target {
  readonly sim: Sim;
  readonly node: Node;
  /** Null while no machine is up. */
  readonly worker: Worker | null;
}
type Trouble = (target: Target) => void;

function during(sim: Sim, ms: number, on: () => void, off: () => void): void {
  on();
  sim.world.after(ms, off);
}

/** A field has another value for so long. */
function become<T, K extends keyof T>(sim: Sim, ms: number, of: T, field: K, on: T[K], off: T[K]): void {
  during(
    sim,
    ms,
    () => {
      of[field] = on;
    },
    () => {
      of[field] = off;
    },
  );
}

function hang(sim: Sim, worker: Worker): void {
  during(
    sim,
    sim.world.int(500, 14_000),
    () => {
      worker.hung = true;
    },
    () => {
      if (!worker.gone) worker.resume();
    },
  );
}

function crash(sim: Sim, node: Node, ms: number): void {
  if (node.controller === null) return;
  node.crash();
  sim.world.after(ms, () => {
    if (node.controller === null) node.start();
  });
}

/** The node stands still with its connections open, and then goes on with what it knew before. */
function pause(sim: Sim, node: Node, ms: number): void {
  const { clock } = node;
  during(
    sim,
    ms,
    () => {
      clock.pause();
    },
    () => {
      clock.resume();
    },
  );
}

/** The node does not reach these for so long. */
function cut(sim: Sim, node: Node, ms: number, from: readonly ('state' | 'workers' | 'peers')[]): void {
  during(
    sim,
    ms,
    () => {
      for (const x of from) node.cut.add(x);
    },
    () => {
      for (const x of from) node.cut.delete(x);
    },
  );
}

function cutZone(sim: Sim): void {
  const { world } = sim;
  const workers = sim.fleet.live();
  const zone = world.pick(ZONES);
  const far = [...sim.nodes.values()].filter((n) => n.zone !== zone).map((n) => n.name);
  const near = workers.filter((x) => x.zone === zone);
  during(
    sim,
    world.int(500, 12_000),
    () => {
      for (const x of near) for (const n of far) x.cutFrom.add(n);
    },
    () => {
      for (const x of near) x.cutFrom.clear();
    },
  );
}

const TROUBLES: readonly Trouble[] = [
  ({ sim, node }) => {
    crash(sim, node, sim.world.pick([50, 500, 3000, 8000]));
  },
  ({ sim }) => {
    for (const n of sim.nodes.values()) crash(sim, n, sim.world.int(50, 4000));
  },
  ({ sim }) => {
    during(
      sim,
      sim.world.int(500, 9000),
      () => {
        sim.state.setOutage(true);
      },
      () => {
        sim.state.setOutage(false);
      },
    );
  },
  ({ sim, node }) => {
    cut(sim, node, sim.world.int(500, 12_000), ['state']);
  },
  ({ sim, node }) => {
    cut(sim, node, sim.world.int(500, 12_000), ['workers']);
  },
  ({ sim, node }) => {
    become(sim, sim.world.int(500, 9000), node, 'refused', true, false);
  },
  ({ sim, worker }) => {
    if (worker !== null) hang(sim, worker);
  },
  ({ sim, worker }) => {
    if (worker === null) return;
    worker.remove();
    sim.fleet.machines.delete(worker.name);
  },
  ({ sim }) => {
    cutZone(sim);
  },
  ({ sim, node }) => {
    cut(sim, node, sim.world.int(500, 9000), ['peers']);
  },
  ({ sim, worker }) => {
    if (worker !== null) become(sim, sim.world.int(2000, 30_000), worker, 'deaf', true, false);
  },
  ({ sim, node }) => {
    cut(sim, node, sim.world.int(500, 15_000), ['state', 'peers']);
  },
  ({ sim }) => {
    become(sim, sim.world.int(3000, 12_000), sim, 'lateWrites', 0.15, 0);
  },
  ({ sim, worker }) => {
    if (worker !== null) become(sim, sim.world.int(2000, 20_000), worker, 'mute', true, false);
  },
  // The one that leads is refused alone, users call jobs off, and then the service is out for all.
  ({ sim }) => {
    sim.refuseThenOut(sim.world.int(200, 4000), sim.world.int(2000, 14_000));
  },
  ({ sim, worker }) => {
    for (const id of sim.running().slice(0, sim.world.int(1, 6))) sim.callOff(id);
    if (worker !== null && sim.world.chance(0.5)) hang(sim, worker);
  },
  ({ sim }) => {
    become(sim, sim.world.int(2000, 9000), sim, 'stateSlowMs', 1500, 0);
  },
  ({ sim }) => {
    become(sim, sim.world.int(4000, 15_000), sim, 'offAtEnd', 0.5, 0);
  },
  ({ sim }) => {
    for (let i = 0; i < 5; i++) sim.odd();
  },
  ({ sim, node }) => {
    pause(sim, node, sim.world.pick([600, 3000, 9000, 20_000]));
  },
];

/** One trouble, to one controller or machine. */
export function makeTrouble(sim: Sim): void {
  const { world } = sim;
  const node = sim.nodes.get(world.pick(NODES))!;
  const workers = sim.fleet.live();
  const worker = workers.length === 0 ? null : world.pick(workers);
  TROUBLES[world.int(0, TROUBLES.length - 1)]!({ sim, node, worker });
}
