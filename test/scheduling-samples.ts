/** Jobs, teams, allocations, placement passes and scaling plans that several tests of scheduling use. */
import type { Team } from '../src/core/model/cluster.js';
import { attempt, nodeName, teamName, type TeamName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { Allocation, MachineRecord } from '../src/core/model/machines.js';
import { MICRO_UNITS } from '../src/core/model/resources.js';
import { wallClockMs } from '../src/core/model/time.js';
import type { PlacementInput } from '../src/core/placement/placement-types.js';
import { placeTasks } from '../src/core/placement/placement.js';
import type { MachineRoom } from '../src/core/records/machine-room.js';
import { planScaling } from '../src/core/scaling/scaling-plan.js';
import type { ScalingInput, ScalingPlan } from '../src/core/scaling/scaling-types.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocationFor } from '../src/core/state/allocations.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission, type, types } from './samples.js';

/** A team with a guarantee of `gpus` GPUs and no limit. */
export const team = (name: string, gpus: number) => ({
  name: teamName(name),
  guarantee: [0, 0, gpus * MICRO_UNITS] as const,
  cpuQuota: null,
  gpuQuota: null,
});

/** Room for many tasks in a machine's messages. */
export const AMPLE_ROOM: MachineRoom = { recordBytes: 6000, reportBytes: 60_000 };

/** Two teams with the same guarantee: `red` and `blue`. */
export const teams = new Map([team('red', 4), team('blue', 4)].map((each) => [each.name, each]));

/** The record of an active job of team `red`, with the given fields of its submission. */
export const job = (id: string, fields: Record<string, unknown>): JobRecord => ({
  spec: jobFromWire(
    submission({
      nameId: id,
      tenant: 'red',
      vcpus: 4,
      cards: 1,
      memoryGb: 16,
      loaner: false,
      ...fields,
    }) as never,
  ),
  phase: 'active',
  done: { base: 0, bits: '', count: 0 },
  submitted: wallClockMs(0),
});

/** Some tasks of the job, allocated on a machine by its first attempt. */
export const allocated = ({ spec }: JobRecord, ...tasks: number[]): Allocation =>
  allocationFor(spec, attempt(1), tasks);

/** Input of a scaling plan for shards `c-0` (team `red`) and `c-1` (`blue`); by default the cloud has no machines to rent. */
export const scalingInput = (
  jobs: JobRecord[],
  machines: MachineRecord[],
  input: Partial<ScalingInput> = {},
): ScalingInput => ({
  jobs,
  machines,
  rentals: [],
  totals: new AllocationTotals(machines, types, teams),
  types: [type],
  shardByTeam: new Map([
    [teamName('red'), nodeName('c-0')],
    [teamName('blue'), nodeName('c-1')],
  ]),
  order: { wallClock: wallClockMs(0), starvationMs: 60_000 },
  isUsable: () => true,
  roomOf: () => AMPLE_ROOM,
  roomOfNewMachine: AMPLE_ROOM,
  isMovable: () => true,
  leavesWholeMachinesToGangs: () => false,
  mayReserve: () => true,
  headroom: [],
  isAvailable: () => false,
  isIdle: () => true,
  ...input,
});

/** The scaling plan for `scalingInput`. */
export const scalingPlan = (
  jobs: JobRecord[],
  machines: MachineRecord[],
  input: Partial<ScalingInput> = {},
): ScalingPlan => planScaling(scalingInput(jobs, machines, input));

/** One placement pass; no image is cached, no machine avoided and no record near its size limit. */
export const placementPass = (
  jobs: JobRecord[],
  machines: MachineRecord[],
  overrides: Partial<PlacementInput> = {},
  knownTeams: ReadonlyMap<TeamName, Team> = teams,
) => {
  let lastAttempt = 1;
  return placeTasks({
    jobs,
    machines,
    totals: new AllocationTotals(machines, types, knownTeams),
    newAttempt: () => attempt(++lastAttempt),
    fetchRank: () => 2,
    isAvoided: () => false,
    roomOf: () => AMPLE_ROOM,
    maxPlacements: 50,
    maxMachines: 50,
    order: { wallClock: wallClockMs(0), starvationMs: 60_000 },
    preferPartlyUsedMachines: true,
    leavesWholeMachinesToGangs: () => false,
    mayReserve: () => true,
    isStarving: () => false,
    isFailingEverywhere: () => false,
    fitnessTolerance: 0.25,
    ...overrides,
  });
};
