/**
 * The machines of a placement pass as candidates for tasks, and the choice of the best one.
 *
 * The choice runs for every task over every candidate: it creates no objects for a machine but the vector of what is free.
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
 * Tiers of candidates, compared before their fitness; the lowest wins. Fitness looks at the shape of what is free and
 * not at its size, and would put a small task on every machine that a gang needs whole.
 */
const MACHINE_TIER = {
  partlyUsed: 0,
  empty: 1,
  /** In use and fetching other images: worse than an empty machine while no job needs whole machines. */
  fetchingOtherImages: 2,
  /** Empty while some jobs need whole machines. */
  emptyWantedByGangs: 4,
} as const;

/** Added to the tier of an on-demand machine for a job that may use spot machines: other jobs have no such choice. */
const ON_DEMAND_TIER_OFFSET = 8;

/** What another record to write adds to the tie-break of a machine: less than one fetch rank. */
const NEW_RECORD_PENALTY = 0.5;

/** A machine that may get tasks in this pass, with what the pass has decided about it so far. */
export interface CandidateMachine {
  readonly machine: MachineRecord;
  /** Bytes that its record has left for further tasks. */
  recordBytesLeft: number;
  /** Jobs with an allocation of this pass on it. */
  readonly placedJobs: Set<JobId>;
  /** Allocations in its record and tasks placed by this pass; 0 for an empty machine. */
  allocationCount: number;
  /** Images that this pass makes it fetch. */
  readonly fetchedImages: Set<string>;
  /** The gang that it is reserved for. */
  reservedFor: JobSpec | null;
}

/** What is asked of the machine for one more task of a job. */
export interface MachineRequest {
  readonly spec: JobSpec;
  /** The zone to which the job's other tasks bind this one; null for any that the job allows. */
  readonly zone: Zone | null;
  /** Tasks of the job that are chosen for a machine and not recorded yet. */
  readonly chosenTasks: ReadonlyMap<MachineName, number>;
  readonly tasksPerZone: ReadonlyMap<Zone, number>;
  /** Whether empty on-demand machines are left to gangs. */
  readonly leavesWholeMachinesToGangs: boolean;
}

/** The machine chosen for a task. */
export interface MachineChoice {
  readonly candidate: CandidateMachine;
  readonly fitness: number;
}

/** Skips machines that cannot fit the smallest pending demand; most machines are full, so this bounds the cost of a pass. */
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
      fetchedImages: new Set(),
      reservedFor: null,
    }));
}

/** The best machine for one more task of a job; null where none fits. */
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
 * How many tasks of the job the machine can take in a zone (null: the one that the job asks for, if any), by an estimate
 * that ignores avoidance and spreading over zones.
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

/** How long the machine needs for the image, with what this pass makes it fetch; see `FETCH_RANK_BUSY`. */
export function fetchRankOf(
  { machine, fetchedImages }: CandidateMachine,
  image: string,
  input: PlacementInput,
): number {
  const rank = input.fetchRank(machine, image);
  if (rank === 0 || fetchedImages.size === 0) return rank;
  return fetchedImages.has(image) ? Math.min(rank, 1) : FETCH_RANK_BUSY;
}

/** The bytes that one more task adds to the machine's record: the tasks of one job and pass share an allocation. */
export function bytesOfNextTask({ placedJobs }: CandidateMachine, spec: JobSpec): number {
  return TASK_INDEX_BYTES + (placedJobs.has(spec.id) ? 0 : allocationBytes(spec));
}

/** One pass over the candidates for one task, with the best so far in its fields. */
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

  /** The best candidate so far; null where none fits. */
  result(): MachineChoice | null {
    return this.best === null ? null : { candidate: this.best, fitness: this.bestFitness };
  }

  /** Makes the candidate the best one if it fits and is better. */
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
      return offset + (preferPartlyUsedMachines ? MACHINE_TIER.emptyWantedByGangs : MACHINE_TIER.empty);
    }
    return (
      offset + (fetchRank === FETCH_RANK_BUSY ? MACHINE_TIER.fetchingOtherImages : MACHINE_TIER.partlyUsed)
    );
  }

  /**
   * Among machines that fit equally well, one that has the image wins, and of those one whose record this pass writes
   * anyway: fitness changes with each task, and alone would send the tasks of an array to one machine each, a change
   * to write for every task. Replicas of a service are better kept apart.
   */
  private tieBreakOf({ placedJobs }: CandidateMachine, chosen: number, fetchRank: number): number {
    const isRecordWritten = placedJobs.size > 0 || chosen > 0;
    const hasPenalty = !isRecordWritten && this.request.spec.kind !== 'service';
    return hasPenalty ? fetchRank + NEW_RECORD_PENALTY : fetchRank;
  }

  /** Compares with the best so far: by tier, then by fitness beyond the tolerance, by tie-break, by exact fitness. */
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

/** For how many more tasks of the job the machine's record has room. */
function tasksWithinRecord({ recordBytesLeft, placedJobs }: CandidateMachine, spec: JobSpec): number {
  const newAllocationBytes = placedJobs.has(spec.id) ? 0 : allocationBytes(spec);
  return Math.floor((recordBytesLeft - newAllocationBytes) / TASK_INDEX_BYTES);
}
