/**
 * Injects random faults into seeded runs. A seed gives the same sequence of faults only while the order of the random draws
 * stays as it is.
 */
import { cancelRunningJobs } from './run-helpers.js';
import type { SimulatedAgent } from './simulated-agent.js';
import type { Dependency, SimulatedController } from './simulated-controller.js';
import type { Simulation } from './simulation.js';
import { NODES, ZONES } from './sizes.js';

/** Simulated time of the first fault, in ms. */
const FIRST_FAULT_MS = 8000;
/** Most jobs whose cancellation is requested at a time while the state service refuses the leader. */
const MAX_CANCELLED_JOBS = 3;
const FAULT_INTERVAL_MS = { min: 1500, max: 9000 };

/** The run, and the controller and the agent that were drawn for a fault; each kind of fault uses what it needs. */
interface FaultTarget {
  readonly simulation: Simulation;
  readonly node: SimulatedController;
  /** Null if no machine is up when the fault is injected. */
  readonly agent: SimulatedAgent | null;
}
type Fault = (target: FaultTarget) => void;

/** All kinds of faults. One is drawn by its index, so that another order or number of them changes the runs of all seeds. */
const FAULTS: readonly Fault[] = [
  crashOneController,
  crashAllControllers,
  failStateService,
  ({ simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 12_000), ['state']);
  },
  ({ simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 12_000), ['agents']);
  },
  ({ simulation, node }) => {
    setTemporarily(simulation, simulation.time.int(500, 9000), node, {
      during: { isRefusedByState: true },
      after: { isRefusedByState: false },
    });
  },
  ({ simulation, agent }) => {
    if (agent !== null) hangAgent(simulation, agent);
  },
  terminateMachine,
  partitionZone,
  ({ simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 9000), ['peers']);
  },
  ({ simulation, agent }) => {
    if (agent !== null)
      setTemporarily(simulation, simulation.time.int(2000, 30_000), agent, {
        during: { isInboundPartitioned: true },
        after: { isInboundPartitioned: false },
      });
  },
  ({ simulation, node }) => {
    partitionController(simulation, node, simulation.time.int(500, 15_000), ['state', 'peers']);
  },
  ({ simulation }) => {
    setTemporarily(simulation, simulation.time.int(3000, 12_000), simulation, {
      during: { lateWriteProbability: 0.15 },
      after: { lateWriteProbability: 0 },
    });
  },
  ({ simulation, agent }) => {
    if (agent !== null)
      setTemporarily(simulation, simulation.time.int(2000, 20_000), agent, {
        during: { isOutboundPartitioned: true },
        after: { isOutboundPartitioned: false },
      });
  },
  ({ simulation }) => {
    refuseLeaderThenFailStateService(
      simulation,
      simulation.time.int(200, 4000),
      simulation.time.int(2000, 14_000),
    );
  },
  cancelRandomJobs,
  ({ simulation }) => {
    setTemporarily(simulation, simulation.time.int(2000, 9000), simulation, {
      during: { maxStateDelayMs: 1500 },
      after: { maxStateDelayMs: 0 },
    });
  },
  ({ simulation }) => {
    setTemporarily(simulation, simulation.time.int(4000, 15_000), simulation, {
      during: { cancelAtEndProbability: 0.5 },
      after: { cancelAtEndProbability: 0 },
    });
  },
  ({ simulation }) => {
    for (let i = 0; i < 5; i++) simulation.users.submitInvalidJob();
  },
  ({ simulation, node }) => {
    pauseController(simulation, node, simulation.time.pick([600, 3000, 9000, 20_000]));
  },
];

/**
 * Injects faults at random intervals until the simulated time `untilMs`. Faults may overlap, and one that has begun may last
 * beyond `untilMs`.
 */
export function injectFaults(simulation: Simulation, untilMs: number): void {
  const { time } = simulation;
  const injectNext = () => {
    if (time.now > untilMs) return;
    injectRandomFault(simulation);
    time.after(time.int(FAULT_INTERVAL_MS.min, FAULT_INTERVAL_MS.max), injectNext);
  };
  time.after(FIRST_FAULT_MS, injectNext);
}

function injectRandomFault(simulation: Simulation): void {
  const { time } = simulation;
  const node = simulation.controllers.get(time.pick(NODES))!;
  const agents = simulation.cluster.liveAgents();
  const agent = agents.length === 0 ? null : time.pick(agents);
  time.pick(FAULTS)({ simulation, node, agent });
}

function crashOneController({ simulation, node }: FaultTarget): void {
  crash(simulation, node, simulation.time.pick([50, 500, 3000, 8000]));
}

function crashAllControllers({ simulation }: FaultTarget): void {
  for (const node of simulation.controllers.values()) crash(simulation, node, simulation.time.int(50, 4000));
}

function crash(simulation: Simulation, node: SimulatedController, downMs: number): void {
  if (node.controller === null) return;
  node.crash();
  simulation.time.after(downMs, () => {
    if (node.controller === null) node.start();
  });
}

function failStateService({ simulation }: FaultTarget): void {
  const outageMs = simulation.time.int(500, 9000);
  simulation.state.setOutage(true);
  simulation.time.after(outageMs, () => {
    simulation.state.setOutage(false);
  });
}

/** Makes services or peers unreachable from a controller for `ms`. */
function partitionController(
  simulation: Simulation,
  node: SimulatedController,
  ms: number,
  dependencies: readonly Dependency[],
): void {
  for (const dependency of dependencies) node.unreachable.add(dependency);
  simulation.time.after(ms, () => {
    for (const dependency of dependencies) node.unreachable.delete(dependency);
  });
}

/** Partitions the live agents of one zone from the controllers of all other zones for a time. */
function partitionZone({ simulation }: FaultTarget): void {
  const { time } = simulation;
  const zone = time.pick(ZONES);
  const remoteNodes = [...simulation.controllers.values()].filter((node) => node.zone !== zone);
  const agents = simulation.cluster.liveAgents().filter((agent) => agent.zone === zone);
  for (const agent of agents) for (const node of remoteNodes) agent.partitionedFrom.add(node.name);
  time.after(time.int(500, 12_000), () => {
    for (const agent of agents) agent.partitionedFrom.clear();
  });
}

/** Pauses a controller's process for `ms`: its connections stay open, and it resumes with its state from before. */
function pauseController(simulation: Simulation, node: SimulatedController, ms: number): void {
  const { clock } = node;
  clock.pause();
  simulation.time.after(ms, () => {
    clock.resume();
  });
}

function hangAgent(simulation: Simulation, agent: SimulatedAgent): void {
  const hangMs = simulation.time.int(500, 14_000);
  agent.isHung = true;
  simulation.time.after(hangMs, () => {
    if (!agent.isTerminated) agent.resume();
  });
}

function terminateMachine({ simulation, agent }: FaultTarget): void {
  if (agent === null) return;
  agent.terminate();
  simulation.cluster.machines.delete(agent.name);
}

function cancelRandomJobs({ simulation, agent }: FaultTarget): void {
  const { time } = simulation;
  const jobs = simulation.runningJobs();
  for (const id of jobs.slice(0, time.int(1, 6))) simulation.cancel(id);
  if (agent !== null && time.happens(0.5)) hangAgent(simulation, agent);
}

/** Has the state service refuse only the leader while jobs are cancelled, and then fail for all controllers. */
function refuseLeaderThenFailStateService(simulation: Simulation, refusedMs: number, outageMs: number): void {
  const { time, state } = simulation;
  const leader = simulation.leader();
  if (leader === undefined || state.outage) return;
  leader.isRefusedByState = true;
  cancelRunningJobs(simulation, MAX_CANCELLED_JOBS);
  time.after(refusedMs, () => {
    cancelRunningJobs(simulation, MAX_CANCELLED_JOBS);
    state.setOutage(true);
  });
  time.after(refusedMs + outageMs, () => {
    state.setOutage(false);
    leader.isRefusedByState = false;
  });
}

/** Assigns the `during` values to the target now, and the `after` values once `ms` have passed. */
function setTemporarily<T extends object>(
  simulation: Simulation,
  ms: number,
  target: T,
  values: { readonly during: Partial<T>; readonly after: Partial<T> },
): void {
  Object.assign(target, values.during);
  simulation.time.after(ms, () => {
    Object.assign(target, values.after);
  });
}
