/** Rules on which shard controllers and the leader have to agree: the order of jobs and room kept for gangs. */
import type { OperatorSettings } from '../config/operator-settings.js';
import type { JobOrderContext } from '../core/jobs/job-order.js';
import type { Clock } from '../core/model/clock.js';
import type { JobRecord } from '../core/model/jobs.js';
import type { AllocationTracker } from './allocation-tracker.js';
import type { DependencyTracker } from './dependency-tracker.js';

/** Evaluates the operators' placement settings at the present time. */
export class SchedulingPolicy {
  constructor(
    private readonly clock: Clock,
    private readonly settings: OperatorSettings['placement'],
    private readonly allocations: AllocationTracker,
    private readonly dependencies: DependencyTracker,
  ) {}

  /** What the order of a team's jobs depends on beside the jobs themselves. */
  jobOrder(): Omit<JobOrderContext, 'hasTasks'> {
    return { wallClock: this.clock.wallClock(), starvationMs: this.settings.behind_s * 1000 };
  }

  /** Whether machines are reserved for the gang: the larger it is, the sooner, since it seldom fits by chance. */
  mayReserve({ spec, failing, submitted }: JobRecord): boolean {
    if (failing !== undefined) return false;
    const reserveAfterMs = (this.settings.hold_after_s * 1000) / Math.sqrt(spec.tasks);
    return spec.tasks > 1 && this.clock.wallClock() - submitted > reserveAfterMs;
  }

  /**
   * Says which jobs leave empty on-demand machines to gangs that cannot use spot machines, while such a gang waits. Only
   * for a time after their submission, since spot machines may be refused.
   */
  gangWholeMachinePolicy(): (job: JobRecord) => boolean {
    const isGangWaiting = this.isOnDemandGangWaiting();
    const submittedAfter = this.clock.wallClock() - this.settings.yield_s * 1000;
    return ({ spec, submitted }) =>
      isGangWaiting && spec.spot && spec.kind !== 'gang' && submitted > submittedAfter;
  }

  private isOnDemandGangWaiting(): boolean {
    const totals = this.allocations.current();
    return this.dependencies
      .current()
      .startable.some(
        ({ spec, phase, failing }) =>
          spec.kind === 'gang' &&
          !spec.spot &&
          phase === 'active' &&
          failing === undefined &&
          !totals.jobs.has(spec.id),
      );
  }
}
