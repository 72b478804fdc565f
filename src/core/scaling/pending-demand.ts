/** The demands that a scaling plan packs, of pending jobs and of headroom, and the quotas that limit them. */
import { endOfStartableTasks } from '../jobs/done-tasks.js';
import { requiredZone } from '../jobs/feasibility.js';
import type { NodeName, TeamName, Zone } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import { NO_RESOURCES, addResources, type ResourceVector } from '../model/resources.js';
import type { AllocationTotals, JobAllocations } from '../state/allocation-totals.js';
import type { Headroom, PendingDemand, ScalingInput } from './scaling-types.js';

/** The demand of a job whose team belongs to the shard. */
export function demandOfJob(job: JobRecord, shard: NodeName, input: ScalingInput): PendingDemand {
  const { spec } = job;
  const allocations = input.totals.allocationsByJob.get(spec.id);
  const tasksPerZone = new Map<Zone, number>(allocations?.tasksPerZone);
  return {
    spec,
    shard,
    tasks: startableTasks(job, allocations),
    zone: requiredZone(spec, tasksPerZone),
    tasksPerZone,
    leavesWholeMachinesToGangs: input.leavesWholeMachinesToGangs(job),
  };
}

/** The demand of a shard's headroom, whose tasks may go to any zone and to empty on-demand machines. */
export function demandOfHeadroom({ spec, tasks }: Headroom, shard: NodeName): PendingDemand {
  return {
    spec,
    shard,
    tasks,
    zone: null,
    tasksPerZone: new Map(),
    leavesWholeMachinesToGangs: false,
  };
}

/** The quotas of the teams, less the tasks that the plan has accepted so far. */
export class PlannedQuota {
  private readonly acceptedByTeam = new Map<TeamName, ResourceVector>();

  constructor(private readonly totals: AllocationTotals) {}

  /**
   * How many further tasks of the job its team's quota allows in addition to what the team uses and what the plan
   * has accepted; may be infinite.
   */
  tasksWithinQuota({ team, demand }: JobSpec): number {
    return this.totals.tasksWithinQuota(team, demand, this.acceptedBy(team));
  }

  /** Counts the job's tasks against its team's quota. */
  accept({ team, demand }: JobSpec, tasks: number): void {
    this.acceptedByTeam.set(team, addResources(this.acceptedBy(team), demand, tasks));
  }

  private acceptedBy(team: TeamName): ResourceVector {
    return this.acceptedByTeam.get(team) ?? NO_RESOURCES;
  }
}

/**
 * Number of tasks that could start now: those that are neither done nor allocated nor beyond an array's window. A job
 * that fails on every machine has one task at a time. Quotas are not considered.
 */
export function startableTasks(job: JobRecord, allocations: JobAllocations | undefined): number {
  const { done, failing } = job;
  const allocated = allocations?.tasks.size ?? 0;
  const pending = Math.max(0, endOfStartableTasks(job) - done.count - allocated);
  if (failing === undefined) return pending;
  return Math.min(pending, Math.max(0, 1 - allocated));
}
