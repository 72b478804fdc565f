/** Jobs, teams and plans as several tests of scheduling use them. */
import { planScaling } from '../src/core/scaling/scaling-plan.js';
import type { ScalingInput } from '../src/core/scaling/scaling-types.js';
import { AllocationTotals } from '../src/core/state/allocation-totals.js';
import { allocationFor } from '../src/core/state/allocations.js';
import { attempt, nodeName, teamName } from '../src/core/model/ids.js';
import type { JobRecord } from '../src/core/model/jobs.js';
import type { MachineRecord } from '../src/core/model/machines.js';
import { wallClockMs } from '../src/core/model/time.js';
import { jobFromWire } from '../src/io/users/job-messages.js';
import { submission, type, types } from './samples.js';

export const team = (name: string, gpus: number) => ({
  name: teamName(name),
  guarantee: [0, 0, gpus * 1e6] as const,
  limitCpu: null,
  limitGpu: null,
});
export const teams = new Map([team('red', 4), team('blue', 4)].map((t) => [t.name, t]));
export const job = (id: string, over: Record<string, unknown>): JobRecord => ({
  spec: jobFromWire(
    submission({
      nameId: id,
      tenant: 'red',
      vcpus: 4,
      cards: 1,
      memoryGb: 16,
      loaner: false,
      ...over,
    }) as never,
  ),
  phase: 'active',
  done: { base: 0, bits: '', count: 0 },
  submitted: wallClockMs(0),
});
export const on = (j: JobRecord, ...tasks: number[]) => allocationFor(j.spec, attempt(1), tasks);

export const planned = (jobs: JobRecord[], machines: MachineRecord[], over: Partial<ScalingInput> = {}) =>
  planScaling({
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
    isMovable: () => true,
    leavesWholeMachinesToGangs: () => false,
    mayReserve: () => true,
    headroom: [],
    isAvailable: () => false,
    isIdle: () => true,
    ...over,
  });
