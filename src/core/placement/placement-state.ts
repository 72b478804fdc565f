/** Working state of one placement pass. */
import { unfinishedTasks } from '../jobs/done-tasks.js';
import { compareJobs } from '../jobs/job-order.js';
import type { Attempt, JobId, MachineName, TaskIndex, TeamName, Zone } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { Allocation, MachineRecord } from '../model/machines.js';
import { MinimalDemands } from '../model/minimal-demands.js';
import type { ResourceVector } from '../model/resources.js';
import { allocationFor } from '../state/allocations.js';
import { candidateMachines, fetchRankOf, takeRoom, type CandidateMachine } from './candidate-machines.js';
import { MachineSearch, type MachineChoice, type ZoneRequest } from './machine-search.js';
import { queuesByTeam, smallestDemand } from './placement-queues.js';
import type { Placement, PlacementInput, PlacementResult, WaitReason } from './placement-types.js';

/**
 * Most evaluations of a candidate for a job in one pass. A pass that reaches the limit leaves the remaining jobs to the
 * next one, so that heartbeats and users are served in between.
 */
const MAX_EVALUATIONS = 150_000;

/** The decision to start tasks of a job on a candidate machine. */
export interface PlacementDecision extends MachineChoice {
  readonly spec: JobSpec;
  readonly indexes: readonly TaskIndex[];
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
  /** What the placements have added to the totals. */
  private readonly addedAllocations: { machine: MachineRecord; allocation: Allocation }[] = [];
  private readonly waitReasons = new Map<JobId, WaitReason>();
  private readonly changedMachines = new Set<MachineName>();
  private readonly unfinishedTasks = new Map<JobId, Iterator<TaskIndex>>();
  private readonly attempts = new Map<JobId, Attempt>();
  /** The searches of jobs that further tasks of this pass may be placed for. */
  private readonly searches = new Map<JobId, MachineSearch>();
  /** Demands for which the pass has found no machine, by the other properties that decide which machines a job may use. */
  private readonly unplaceable = new Map<string, MinimalDemands>();
  private evaluations = 0;

  constructor(readonly input: PlacementInput) {
    const { totals } = input;
    const order = compareJobs({ ...input.order, hasTasks: (id) => totals.allocationsByJob.has(id) });
    this.queues = queuesByTeam(input.jobs, order);
    this.candidates = candidateMachines(input, smallestDemand(this.queues.values()));
  }

  /** Whether no jobs are left in the queues or a limit of the pass is reached. */
  isComplete(): boolean {
    if (this.queues.size === 0 || this.placements.length >= this.input.maxPlacements) return true;
    if (this.hasReachedEvaluations()) return true;
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

  /** The best machine for one more task of an array or service; null if none fits. */
  bestMachineFor(job: JobRecord, request: ZoneRequest): MachineChoice | null {
    const { spec } = job;
    const leavesWholeMachinesToGangs = this.input.leavesWholeMachinesToGangs(job);
    const eligibility = eligibilityKey(spec, request.zone, leavesWholeMachinesToGangs);
    if (this.unplaceable.get(eligibility)?.anyWithin(spec.demand) === true) return null;
    const search = this.searchFor(spec, leavesWholeMachinesToGangs);
    const choice = search.best(request);
    if (choice === null && !spec.spread && !search.hasExcludedForJob)
      this.recordUnplaceable(eligibility, spec.demand);
    return choice;
  }

  /** A new search for a job of which all tasks are placed at once. */
  newSearch(spec: JobSpec): MachineSearch {
    this.evaluations += this.candidates.length;
    return new MachineSearch(this.candidates, this.input, { spec, leavesWholeMachinesToGangs: false });
  }

  /** Reserves the machines for a gang. */
  reserve(candidates: readonly CandidateMachine[], spec: JobSpec): void {
    for (const candidate of candidates) candidate.reservedFor = spec;
    this.searches.clear();
  }

  /** Ends the search of a job that gets no further tasks in this pass. */
  endSearch(job: JobId): void {
    this.searches.delete(job);
  }

  /** Records the placement of tasks on one machine and adds them to the totals. */
  recordPlacement({ spec, indexes, attempt, candidate, share, fitness }: PlacementDecision): void {
    const { machine } = candidate;
    const fetchRank = fetchRankOf(candidate, spec.image, this.input);
    if (fetchRank > 0) candidate.imagesToFetch.add(spec.image);
    for (const index of indexes)
      this.placements.push({ job: spec, index, machine, attempt, share, fitness, fetchRank });
    takeRoom(candidate, spec, indexes.length);
    this.changedMachines.add(machine.name);
    const allocation = allocationFor(spec, attempt, indexes);
    this.addedAllocations.push({ machine, allocation });
    this.input.totals.addAllocation(machine, allocation);
    for (const search of this.searches.values()) search.evaluate(candidate);
  }

  /** Records why the job has to wait; replaces an earlier reason. */
  recordWait(job: JobId, reason: WaitReason): void {
    this.waitReasons.set(job, reason);
  }

  /** Ends the pass and removes its placements from the shared totals: they count only once committed. */
  finish(): PlacementResult {
    const { placements, waitReasons } = this;
    for (const { machine, allocation } of this.addedAllocations)
      this.input.totals.removeAllocation(machine, allocation);
    return { placements, waitReasons, isCutShort: this.hasReachedEvaluations() && this.queues.size > 0 };
  }

  private hasReachedEvaluations(): boolean {
    return this.evaluations >= MAX_EVALUATIONS;
  }

  private searchFor(spec: JobSpec, leavesWholeMachinesToGangs: boolean): MachineSearch {
    let search = this.searches.get(spec.id);
    if (search === undefined) {
      this.evaluations += this.candidates.length;
      search = new MachineSearch(this.candidates, this.input, { spec, leavesWholeMachinesToGangs });
      this.searches.set(spec.id, search);
    }
    return search;
  }

  private recordUnplaceable(eligibility: string, demand: ResourceVector): void {
    const known = this.unplaceable.get(eligibility);
    if (known === undefined) this.unplaceable.set(eligibility, new MinimalDemands([demand]));
    else known.add(demand);
  }
}

/** Equal for jobs that may use the same machines in one pass, apart from their demands. */
function eligibilityKey(spec: JobSpec, zone: Zone | null, leavesWholeMachinesToGangs: boolean): string {
  const { types, zone: jobZone, spot, priority } = spec;
  return JSON.stringify([types, jobZone, spot, priority, zone, leavesWholeMachinesToGangs]);
}
