/** What a job's own constraints allow: machine types, zones, and whether it could ever run. */
import type { Team } from '../model/cluster.js';
import type { TypeName, TeamName } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineType } from '../model/machines.js';
import { fitsWithin, CPU, GPU } from '../model/resources.js';

/** Whether the job may run on machines of the type. */
export function allowsMachineType(spec: JobSpec, type: TypeName): boolean {
  return spec.types === null || spec.types.includes(type);
}

/** Whether a job could ever run, or why not. */
export type Feasibility = 'ok' | 'unknown_team' | 'fits_no_type' | 'over_limit';

/** Whether the job could ever run. The caller must know the machine types before it asks. */
export function checkFeasibility(
  spec: JobSpec,
  teams: ReadonlyMap<TeamName, Team>,
  types: Iterable<MachineType>,
): Feasibility {
  const team = teams.get(spec.team);
  if (team === undefined) return 'unknown_team';
  let fitting = false;
  for (const t of types) {
    if (!allowsMachineType(spec, t.name)) continue;
    if (spec.zone !== null && !t.zones.includes(spec.zone)) continue;
    if (fitsWithin(spec.demand, t.capacity)) fitting = true;
  }
  if (!fitting) return 'fits_no_type';
  const atOnce = spec.kind === 'array' ? 1 : spec.tasks;
  if (team.limitCpu !== null && spec.demand[CPU] * atOnce > team.limitCpu) return 'over_limit';
  if (team.limitGpu !== null && spec.demand[GPU] * atOnce > team.limitGpu) return 'over_limit';
  return 'ok';
}

/** At most this many tasks of a spread job may be in one zone. */
export function maxTasksPerZone(spec: JobSpec): number {
  return spec.spread ? Math.ceil(spec.tasks / 2) : spec.tasks;
}
