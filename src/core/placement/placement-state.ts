/** Working state of one placement pass. */
import { unfinishedTasks } from '../jobs/done-tasks.js';
import { compareJobs } from '../jobs/job-order.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import { allocationFor } from '../state/allocations.js';
import {
  bytesOfNextTask,
  candidateMachines,
  fetchRankOf,
  type CandidateMachine,
  type MachineChoice,
} from './candidate-machines.js';
import { queuesByTeam, smallestDemand } from './placement-queues.js';
import type { Placement, PlacementInput, PlacementResult, WaitReason } from './placement-types.js';

/** The decision to start a task on a candidate machine. */
export interface PlacementDecision extends MachineChoice {
  readonly spec: JobSpec;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  /** Weighted dominant share of the team before the placement. */
  readonly share: number;
}

/** Candidates, queues and placements of one pass. Placements count in the totals until `finish`. */
export class PlacementState {
  /** Jobs still to be served by team, in the order in which they are served. */
  readonly queues: Map<TeamName, JobRecord[]>;
  readonly candidates: readonly CandidateMachine[];
  /** Whether machines are reserved for a gang; at most one gang has a reservation. */
  hasReservation = false;
  private readonly placements: Placement[] = [];
  private readonly waitReasons = new Map<JobId, WaitReason>();
  private readonly changedMachines = new Set<MachineName>();
  private readonly unfinishedTasks = new Map<JobId, Iterator<TaskIndex>>();
  private readonly attempts = new Map<JobId, Attempt>();

  constructor(readonly input: PlacementInput) {
    const { totals } = input;
    const order = compareJobs({ ...input.order, hasTasks: (id) => totals.allocationsByJob.has(id) });
    this.queues = queuesByTeam(input.jobs, order);
    this.candidates = candidateMachines(input, smallestDemand(this.queues.values()));
  }

  /** Whether no jobs are left in the queues or a limit of the pass is reached. */
  isComplete(): boolean {
    if (this.queues.size === 0 || this.placements.length >= this.input.maxPlacements) return true;
    return this.changedMachines.size >= this.input.maxMachines;
  }

  /**
   * The next task of the job that is neither done nor allocated, each once per pass; null if none is left.
   */
  nextTaskOf(job: JobRecord): TaskIndex | null {
    const { id } = job.spec;
    const allocated = this.input.totals.allocationsByJob.get(id)?.tasks;
    let tasks = this.unfinishedTasks.get(id);
    if (tasks === undefined) {
      tasks = unfinishedTasks(job);
      this.unfinishedTasks.set(id, tasks);
    }
    for (let next = tasks.next(); next.done !== true; next = tasks.next())
      if (allocated?.has(next.value) !== true) return next.value;
    return null;
  }

  /**
   * The attempt of all tasks of an array or service that this pass starts; it lets them share allocations.
   */
  attemptOf(job: JobId): Attempt {
    let attempt = this.attempts.get(job);
    if (attempt === undefined) {
      attempt = this.input.newAttempt();
      this.attempts.set(job, attempt);
    }
    return attempt;
  }

  /** Records the placement of a task and adds it to the totals. */
  recordPlacement({ spec, index, attempt, candidate, share, fitness }: PlacementDecision): void {
    const { machine } = candidate;
    const fetchRank = fetchRankOf(candidate, spec.image, this.input);
    if (fetchRank > 0) candidate.imagesToFetch.add(spec.image);
    candidate.recordBytesLeft -= bytesOfNextTask(candidate, spec);
    candidate.placedJobs.add(spec.id);
    candidate.allocationCount++;
    this.changedMachines.add(machine.name);
    this.placements.push({ job: spec, index, machine, attempt, share, fitness, fetchRank });
    this.input.totals.addAllocation(machine, allocationFor(spec, attempt, [index]));
  }

  /** Records why the job has to wait; replaces an earlier reason. */
  recordWait(job: JobId, reason: WaitReason): void {
    this.waitReasons.set(job, reason);
  }

  /** Ends the pass and removes its placements from the shared totals: they count only once committed. */
  finish(): PlacementResult {
    const { placements, waitReasons } = this;
    for (const { job, index, machine, attempt } of placements)
      this.input.totals.removeAllocation(machine, allocationFor(job, attempt, [index]));
    return { placements, waitReasons };
  }
}
