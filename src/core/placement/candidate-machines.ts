/**
 * Candidate machines of a placement pass, and the choice of the best one for a task.
 *
 * The choice compares every task with every candidate, so the only object it allocates per candidate is the
 * vector of free resources.
 */
import { allowsMachine, allowsMachineType, maxTasksPerZone } from '../jobs/feasibility.js';
import { fitness } from '../model/dominant-share.js';
import type { JobId, MachineName, Zone } from '../model/ids.js';
import { PRIORITY_RANK, type JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { addResources, fitsWithin, tasksThatFit, type ResourceVector } from '../model/resources.js';
import { TASK_INDEX_BYTES, allocationBytes } from '../records/stored-records.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import { FETCH_RANK_BUSY, type PlacementInput } from './placement-types.js';

/**
 * Tiers of candidates, compared before fitness; the lowest wins. Fitness compares the shape of the free
 * resources, not their amount: on its own it would place small tasks on empty machines that gangs need.
 */
const MACHINE_TIER = {
  partlyUsed: 0,
  empty: 1,
  /** Partly used and fetching other images: worse than an empty machine while no job needs whole machines. */
  fetchingOtherImages: 2,
  /** Empty while some jobs need whole machines. */
  emptyLeftToGangs: 4,
} as const;

/**
 * Added to the tier of an on-demand machine for a job that may use spot machines, to leave on-demand machines to
 * jobs that may use no others.
 */
const ON_DEMAND_TIER_OFFSET = 8;

/** Tie-break penalty of a machine whose record the pass does not write so far; less than one step of the fetch rank. */
const NEW_RECORD_PENALTY = 0.5;

/** A machine that may get tasks in a placement pass, with the decisions of the pass about it so far. */
export interface CandidateMachine {
  readonly machine: MachineRecord;
  /** Bytes that the machine's record has left for further tasks. */
  recordBytesLeft: number;
  /** Jobs of which this pass has placed tasks on the machine. */
  readonly placedJobs: Set<JobId>;
  /** Number of allocations in the machine's record plus tasks placed by this pass; 0 for an empty machine. */
  allocationCount: number;
  /** Images that the machine has to fetch for tasks of this pass. */
  readonly imagesToFetch: Set<string>;
  /** The gang that the machine is reserved for; null if it is not reserved. */
  reservedFor: JobSpec | null;
}

/** Requirements on a machine for one more task of a job. */
export interface MachineRequest {
  readonly spec: JobSpec;
  /**
   * The zone that the task has to share with the job's other tasks; null for any zone that the job allows.
   */
  readonly zone: Zone | null;
  /** Number of the job's tasks by machine that are chosen but not yet added to the totals. */
  readonly chosenTasks: ReadonlyMap<MachineName, number>;
  /** Number of the job's tasks by zone, compared with the limit of a job that spreads over zones. */
  readonly tasksPerZone: ReadonlyMap<Zone, number>;
  /** Whether the job leaves empty on-demand machines to gangs. */
  readonly leavesWholeMachinesToGangs: boolean;
}

/** The machine chosen for a task, with the fitness of the task's demand on it; lower is better. */
export interface MachineChoice {
  readonly candidate: CandidateMachine;
  readonly fitness: number;
}

/**
 * The machines of a pass that can fit the smallest pending demand (null: no pending jobs, hence no
 * candidates). Most machines are full, so skipping them bounds the cost of the pass.
 */
export function candidateMachines(
  { machines, totals, recordBytesLeft }: PlacementInput,
  smallestDemand: ResourceVector | null,
): CandidateMachine[] {
  if (smallestDemand === null) return [];
  return machines
    .filter(({ name }) => fitsWithin(smallestDemand, totals.freeByMachine.get(name)!))
    .map((machine) => ({
      machine,
      recordBytesLeft: recordBytesLeft(machine.name),
      placedJobs: new Set(),
      allocationCount: machine.placed.length,
      imagesToFetch: new Set(),
      reservedFor: null,
    }));
}

/** The best machine for one more task of a job; null if none fits. */
export function bestMachineFor(
  candidates: readonly CandidateMachine[],
  input: PlacementInput,
  request: MachineRequest,
): MachineChoice | null {
  const search = new MachineSearch(input, request);
  for (const candidate of candidates) search.consider(candidate);
  return search.result();
}

/**
 * Estimates how many tasks of the job the machine can take if they are restricted to a zone (null: the job's
 * own zone, if any). The estimate ignores avoided machines and the job's limit of tasks per zone.
 */
export function estimateTaskCapacity(
  candidate: CandidateMachine,
  spec: JobSpec,
  zone: Zone | null,
  totals: AllocationTotals,
): number {
  const { machine } = candidate;
  if (isReservedForOther(candidate, spec) || !allowsMachineType(spec, machine.type)) return 0;
  if (machine.spot && !spec.spot) return 0;
  if ((zone ?? spec.zone ?? machine.zone) !== machine.zone) return 0;
  const free = totals.freeByMachine.get(machine.name)!;
  return Math.min(tasksWithinRecord(candidate, spec), tasksThatFit(spec.demand, free));
}

/**
 * Fetch rank of the image on the machine, including the images to fetch for this pass; see `FETCH_RANK_BUSY`.
 */
export function fetchRankOf(
  { machine, imagesToFetch }: CandidateMachine,
  image: string,
  input: PlacementInput,
): number {
  const rank = input.fetchRank(machine, image);
  if (rank === 0 || imagesToFetch.size === 0) return rank;
  return imagesToFetch.has(image) ? Math.min(rank, 1) : FETCH_RANK_BUSY;
}

/**
 * Bytes that one more task adds to the machine's record. Tasks of one job placed in the same pass share an
 * allocation.
 */
export function bytesOfNextTask({ placedJobs }: CandidateMachine, spec: JobSpec): number {
  return TASK_INDEX_BYTES + (placedJobs.has(spec.id) ? 0 : allocationBytes(spec));
}

/** Finds the best of the candidates for one task; its fields hold the best one so far. */
class MachineSearch {
  private best: CandidateMachine | null = null;
  private bestTier = 0;
  private bestFitness = 0;
  private bestTieBreak = 0;
  private readonly zoneLimit: number;

  constructor(
    private readonly input: PlacementInput,
    private readonly request: MachineRequest,
  ) {
    this.zoneLimit = maxTasksPerZone(request.spec);
  }

  /** The best candidate so far; null if none fits. */
  result(): MachineChoice | null {
    return this.best === null ? null : { candidate: this.best, fitness: this.bestFitness };
  }

  /** Makes the candidate the best one if it fits and is better than the best so far. */
  consider(candidate: CandidateMachine): void {
    const { machine } = candidate;
    const { spec, chosenTasks } = this.request;
    if (!this.isEligible(candidate)) return;
    const chosen = chosenTasks.get(machine.name) ?? 0;
    if (tasksWithinRecord(candidate, spec) <= chosen) return;
    const { totals, isAvoided } = this.input;
    const free = addResources(totals.freeByMachine.get(machine.name)!, spec.demand, -chosen);
    if (!fitsWithin(spec.demand, free) || isAvoided(spec.id, machine.name)) return;
    const isEmpty = candidate.allocationCount + chosen === 0;
    if (isEmpty && this.request.leavesWholeMachinesToGangs && !machine.spot) return;

    const fetchRank = fetchRankOf(candidate, spec.image, this.input);
    const fit = fitness(spec.demand, free, totals.fleetCapacity);
    const tier = this.tierOf(machine, isEmpty, fetchRank);
    const tieBreak = this.tieBreakOf(candidate, chosen, fetchRank);
    if (!this.isBetter(tier, fit, tieBreak)) return;
    this.best = candidate;
    this.bestTier = tier;
    this.bestFitness = fit;
    this.bestTieBreak = tieBreak;
  }

  private isEligible(candidate: CandidateMachine): boolean {
    const { machine } = candidate;
    const { spec, zone, tasksPerZone } = this.request;
    if (isReservedForOther(candidate, spec) || !allowsMachine(spec, machine)) return false;
    if (zone !== null && machine.zone !== zone) return false;
    return (tasksPerZone.get(machine.zone) ?? 0) < this.zoneLimit;
  }

  private tierOf(machine: MachineRecord, isEmpty: boolean, fetchRank: number): number {
    const offset = this.request.spec.spot && !machine.spot ? ON_DEMAND_TIER_OFFSET : 0;
    if (isEmpty) {
      const { preferPartlyUsedMachines } = this.input;
      return offset + (preferPartlyUsedMachines ? MACHINE_TIER.emptyLeftToGangs : MACHINE_TIER.empty);
    }
    return (
      offset + (fetchRank === FETCH_RANK_BUSY ? MACHINE_TIER.fetchingOtherImages : MACHINE_TIER.partlyUsed)
    );
  }

  /**
   * Tie-break among machines that fit equally well; lower is better. Prefers machines that have the image,
   * and of those the ones whose record this pass writes anyway. Fitness changes with each placed task, so
   * that by fitness alone every task of an array could go to another machine, each with a record to write.
   * Replicas of a service get no such preference: they are better kept on different machines.
   */
  private tieBreakOf({ placedJobs }: CandidateMachine, chosen: number, fetchRank: number): number {
    const isRecordWritten = placedJobs.size > 0 || chosen > 0;
    const hasPenalty = !isRecordWritten && this.request.spec.kind !== 'service';
    return hasPenalty ? fetchRank + NEW_RECORD_PENALTY : fetchRank;
  }

  /**
   * Whether a candidate is better than the best so far: by tier, then by fitness beyond the tolerance, then
   * by tie-break, then by exact fitness.
   */
  private isBetter(tier: number, fit: number, tieBreak: number): boolean {
    const { fitnessTolerance } = this.input;
    if (this.best === null) return true;
    if (tier !== this.bestTier) return tier < this.bestTier;
    if (fit < this.bestFitness - fitnessTolerance) return true;
    if (fit >= this.bestFitness + fitnessTolerance) return false;
    if (tieBreak !== this.bestTieBreak) return tieBreak < this.bestTieBreak;
    return fit < this.bestFitness;
  }
}

/** Whether the machine is reserved for another gang of at least the same priority. */
function isReservedForOther({ reservedFor }: CandidateMachine, spec: JobSpec): boolean {
  if (reservedFor === null || reservedFor.id === spec.id) return false;
  return PRIORITY_RANK[reservedFor.priority] <= PRIORITY_RANK[spec.priority];
}

/** Number of further tasks of the job that fit into the machine's record. */
function tasksWithinRecord({ recordBytesLeft, placedJobs }: CandidateMachine, spec: JobSpec): number {
  const newAllocationBytes = placedJobs.has(spec.id) ? 0 : allocationBytes(spec);
  return Math.floor((recordBytesLeft - newAllocationBytes) / TASK_INDEX_BYTES);
}
