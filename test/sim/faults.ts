/** Troubles of seeded runs: one at random each time. */
import type { SimulatedAgent } from './agents-and-cloud.js';
import type { SimulatedController } from './simulated-controller.js';
import type { Simulation } from './simulation.js';
import { NODES, ZONES } from './sizes.js';

/** What a trouble may concern. */
interface FaultTarget {
  readonly sim: Simulation;
  readonly node: SimulatedController;
  /** Null while no machine is up. */
  readonly worker: SimulatedAgent | null;
}
type Fault = (target: FaultTarget) => void;

function during(simulation: Simulation, ms: number, on: () => void, off: () => void): void {
  on();
  simulation.time.after(ms, off);
}

/** A field has another value for so long. */
function setDuring<T, K extends keyof T>(
  simulation: Simulation,
  ms: number,
  of: T,
  field: K,
  on: T[K],
  off: T[K],
): void {
  during(
    simulation,
    ms,
    () => {
      of[field] = on;
    },
    () => {
      of[field] = off;
    },
  );
}

function hang(simulation: Simulation, agent: SimulatedAgent): void {
  during(
    simulation,
    simulation.time.int(500, 14_000),
    () => {
      agent.isHung = true;
    },
    () => {
      if (!agent.isTerminated) agent.resume();
    },
  );
}

function crash(simulation: Simulation, node: SimulatedController, ms: number): void {
  if (node.controller === null) return;
  node.crash();
  simulation.time.after(ms, () => {
    if (node.controller === null) node.start();
  });
}

/** The node stands still with its connections open, and then goes on with what it knew before. */
function pause(simulation: Simulation, node: SimulatedController, ms: number): void {
  const { clock } = node;
  during(
    simulation,
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
function partitionController(
  simulation: Simulation,
  node: SimulatedController,
  ms: number,
  from: readonly ('state' | 'workers' | 'peers')[],
): void {
  during(
    simulation,
    ms,
    () => {
      for (const x of from) node.unreachable.add(x);
    },
    () => {
      for (const x of from) node.unreachable.delete(x);
    },
  );
}

function partitionZone(simulation: Simulation): void {
  const { time } = simulation;
  const agents = simulation.cluster.liveAgents();
  const zone = time.pick(ZONES);
  const far = [...simulation.controllers.values()].filter((n) => n.zone !== zone).map((n) => n.name);
  const near = agents.filter((x) => x.zone === zone);
  during(
    simulation,
    time.int(500, 12_000),
    () => {
      for (const x of near) for (const n of far) x.partitionedFrom.add(n);
    },
    () => {
      for (const x of near) x.partitionedFrom.clear();
    },
  );
}

const FAULTS: readonly Fault[] = [
  ({ sim: simulation, node }) => {
    crash(simulation, node, simulation.time.pick([50, 500, 3000, 8000]));
  },
  ({ sim: simulation }) => {
    for (const n of simulation.controllers.values()) crash(simulation, n, simulation.time.int(50, 4000));
  },
  ({ sim: simulation }) => {
    during(
      simulation,
      simulation.time.int(500, 9000),
      () => {
        simulation.state.setOutage(true);
      },
      () => {
        simulation.state.setOutage(false);
      },
    );
  },
  ({ sim: simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 12_000), ['state']);
  },
  ({ sim: simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 12_000), ['workers']);
  },
  ({ sim: simulation, node }) => {
    setDuring(simulation, simulation.time.int(500, 9000), node, 'isRefusedByState', true, false);
  },
  ({ sim: simulation, worker: agent }) => {
    if (agent !== null) hang(simulation, agent);
  },
  ({ sim: simulation, worker: agent }) => {
    if (agent === null) return;
    agent.remove();
    simulation.cluster.machines.delete(agent.name);
  },
  ({ sim: simulation }) => {
    partitionZone(simulation);
  },
  ({ sim: simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 9000), ['peers']);
  },
  ({ sim: simulation, worker: agent }) => {
    if (agent !== null)
      setDuring(simulation, simulation.time.int(2000, 30_000), agent, 'isInboundPartitioned', true, false);
  },
  ({ sim: simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 15_000), ['state', 'peers']);
  },
  ({ sim: simulation }) => {
    setDuring(simulation, simulation.time.int(3000, 12_000), simulation, 'lateWriteProbability', 0.15, 0);
  },
  ({ sim: simulation, worker: agent }) => {
    if (agent !== null)
      setDuring(simulation, simulation.time.int(2000, 20_000), agent, 'isOutboundPartitioned', true, false);
  },
  // The one that leads is refused alone, users call jobs off, and then the service is out for all.
  ({ sim: simulation }) => {
    simulation.refuseLeaderThenOutage(simulation.time.int(200, 4000), simulation.time.int(2000, 14_000));
  },
  ({ sim: simulation, worker: agent }) => {
    for (const id of simulation.runningJobs().slice(0, simulation.time.int(1, 6))) simulation.cancel(id);
    if (agent !== null && simulation.time.happens(0.5)) hang(simulation, agent);
  },
  ({ sim: simulation }) => {
    setDuring(simulation, simulation.time.int(2000, 9000), simulation, 'maxStateDelayMs', 1500, 0);
  },
  ({ sim: simulation }) => {
    setDuring(simulation, simulation.time.int(4000, 15_000), simulation, 'cancelAtEndProbability', 0.5, 0);
  },
  ({ sim: simulation }) => {
    for (let i = 0; i < 5; i++) simulation.submitInvalidJob();
  },
  ({ sim: simulation, node }) => {
    pause(simulation, node, simulation.time.pick([600, 3000, 9000, 20_000]));
  },
];

/** One trouble, to one controller or machine. */
export function injectRandomFault(simulation: Simulation): void {
  const { time } = simulation;
  const node = simulation.controllers.get(time.pick(NODES))!;
  const agents = simulation.cluster.liveAgents();
  const agent = agents.length === 0 ? null : time.pick(agents);
  FAULTS[time.int(0, FAULTS.length - 1)]!({ sim: simulation, node, worker: agent });
}
