/** What a job's own constraints allow: machines, zones, and whether it could ever run. */
import type { Team } from '../model/cluster.js';
import type { TypeName, TeamName, Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineType } from '../model/machines.js';
import { fitsWithin, CPU, GPU } from '../model/resources.js';

/** Whether the job may run on machines of the type. */
export function allowsMachineType(spec: JobSpec, type: TypeName): boolean {
  return spec.types === null || spec.types.includes(type);
}

/** The properties of a machine, a packing bin or a rental option that a job's constraints are checked against. */
export interface MachineTraits {
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
}

/** Whether the job's constraints allow the machine's type, zone and billing kind (spot or on demand). */
export function allowsMachine(spec: JobSpec, machine: MachineTraits): boolean {
  if (!allowsMachineType(spec, machine.type)) return false;
  if (machine.spot && !spec.spot) return false;
  return spec.zone === null || spec.zone === machine.zone;
}

/** The zones to try for the job one after the other, in a stable order; null stands for all of them together. */
export function zoneChoices(spec: JobSpec, zones: Iterable<Zone>): (Zone | null)[] {
  return spec.oneZone ? [...new Set(zones)].sort() : [null];
}

/** The zone that the job's further tasks must share with those already allocated; null if they may go to any zone. */
export function requiredZone(spec: JobSpec, tasksPerZone: ReadonlyMap<Zone, number>): Zone | null {
  if (!spec.oneZone) return null;
  for (const [zone, tasks] of tasksPerZone) if (tasks > 0) return zone;
  return null;
}

/** Whether a job could ever run, or why not. */
export type Feasibility = 'ok' | 'unknown_team' | 'fits_no_type' | 'over_limit';

/** Whether the job could ever run, or why not. `types` must have been loaded: no job fits an empty list. */
export function checkFeasibility(
  spec: JobSpec,
  teams: ReadonlyMap<TeamName, Team>,
  types: Iterable<MachineType>,
): Feasibility {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown_team';
  if (![...types].some((type) => fitsType(spec, type))) return 'fits_no_type';
  // An array may run one task after the other; the tasks of all other jobs run at the same time.
  const tasksAtOnce = spec.kind === 'array' ? 1 : spec.tasks;
  const isOverQuota =
    exceedsQuota(spec.demand[CPU] * tasksAtOnce, team.cpuQuota) ||
    exceedsQuota(spec.demand[GPU] * tasksAtOnce, team.gpuQuota);
  return isOverQuota ? 'over_limit' : 'ok';
}

function fitsType(spec: JobSpec, type: MachineType): boolean {
  if (!allowsMachineType(spec, type.name)) return false;
  if (spec.zone !== null && !type.zones.includes(spec.zone)) return false;
  return fitsWithin(spec.demand, type.capacity);
}

const exceedsQuota = (amount: number, quota: number | null): boolean => quota !== null && amount > quota;

/** How many tasks of the job may be in one zone: half of them, rounded up, for a spread job, otherwise all. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}
