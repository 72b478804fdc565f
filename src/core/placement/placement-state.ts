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

/** A decided start of a task. */
export interface PlacementDecision extends MachineChoice {
  readonly spec: JobSpec;
  readonly index: TaskIndex;
  readonly attempt: Attempt;
  /** Weighted dominant share of the team before the placement. */
  readonly share: number;
}

/** Candidates, queues and decisions of one pass; decisions are added to the totals until `finish`. */
export class PlacementState {
  /** Jobs still to be served, by team, each in the order of service. */
  readonly queues: Map<TeamName, JobRecord[]>;
  readonly candidates: readonly CandidateMachine[];
  /** Whether machines are reserved for a gang: only one at a time has a reservation. */
  hasReservation = false;
  private readonly placements: Placement[] = [];
  private readonly waitReasons = new Map<JobId, WaitReason>();
  private readonly changedMachines = new Set<MachineName>();
  private readonly unfinishedTasks = new Map<JobId, Iterator<TaskIndex>>();
  private readonly attempts = new Map<JobId, Attempt>();

  constructor(readonly input: PlacementInput) {
    const { totals } = input;
    const order = compareJobs({ ...input.order, hasTasks: (id) => totals.jobs.has(id) });
    this.queues = queuesByTeam(input.jobs, order);
    this.candidates = candidateMachines(input, smallestDemand(this.queues.values()));
  }

  /** Whether all jobs are served or a limit of the pass is reached. */
  isComplete(): boolean {
    if (this.queues.size === 0 || this.placements.length >= this.input.maxPlacements) return true;
    return this.changedMachines.size >= this.input.maxMachines;
  }

  /** The next task of the job that is neither done nor allocated, each only once a pass; null where none is left. */
  nextTaskOf(job: JobRecord): TaskIndex | null {
    const { id } = job.spec;
    const allocated = this.input.totals.jobs.get(id)?.tasks;
    let tasks = this.unfinishedTasks.get(id);
    if (tasks === undefined) {
      tasks = unfinishedTasks(job);
      this.unfinishedTasks.set(id, tasks);
    }
    for (let next = tasks.next(); next.done !== true; next = tasks.next())
      if (allocated?.has(next.value) !== true) return next.value;
    return null;
  }

  /** The attempt of all tasks of the job that this pass starts one by one: they share allocations. */
  attemptOf(job: JobId): Attempt {
    let attempt = this.attempts.get(job);
    if (attempt === undefined) {
      attempt = this.input.newAttempt();
      this.attempts.set(job, attempt);
    }
    return attempt;
  }

  /** Records a start, and adds it to the totals. */
  recordPlacement({ spec, index, attempt, candidate, share, fitness }: PlacementDecision): void {
    const { machine } = candidate;
    const fetchRank = fetchRankOf(candidate, spec.image, this.input);
    if (fetchRank > 0) candidate.fetchedImages.add(spec.image);
    candidate.recordBytesLeft -= bytesOfNextTask(candidate, spec);
    candidate.placedJobs.add(spec.id);
    candidate.allocationCount++;
    this.changedMachines.add(machine.name);
    this.placements.push({ job: spec, index, machine, attempt, share, fitness, fetchRank });
    this.input.totals.addAllocation(machine, allocationFor(spec, attempt, [index]));
  }

  /** Records why a job waits. */
  recordWait(job: JobId, reason: WaitReason): void {
    this.waitReasons.set(job, reason);
  }

  /** Ends the pass: removes its placements from the totals, which others share; they count once committed. */
  finish(): PlacementResult {
    const { placements, waitReasons } = this;
    for (const { job, index, machine, attempt } of placements)
      this.input.totals.removeAllocation(machine, allocationFor(job, attempt, [index]));
    return { placements, waitReasons };
  }
}
