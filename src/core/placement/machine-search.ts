/**
 * The choice of the best machine for the tasks of one job.
 *
 * Each candidate is evaluated once, and again after the pass has placed something on it: the next task of the job then
 * only compares the results. The evaluation allocates no object for a candidate without chosen tasks.
 */
import { allowsMachine, maxTasksPerZone } from '../jobs/feasibility.js';
import { fitness } from '../model/dominant-share.js';
import type { Zone } from '../model/ids.js';
import type { JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { addResources, fitsWithin, tasksThatFit, type ResourceVector } from '../model/resources.js';
import {
  fetchRankOf,
  isReservedForOther,
  tasksWithinMessages,
  type CandidateMachine,
} from './candidate-machines.js';
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

/** Tier of a candidate that cannot take a task of the job. */
const NO_TIER = Number.POSITIVE_INFINITY;

/** Where the next task of the job may go, besides what the candidates have been evaluated for. */
export interface ZoneRequest {
  /** The zone that the task has to share with the job's other tasks; null for any zone that the job allows. */
  readonly zone: Zone | null;
  /** Number of the job's tasks by zone, compared with the limit of a job that spreads over zones. */
  readonly tasksPerZone: ReadonlyMap<Zone, number>;
}

/** The machine chosen for a task, with the fitness of the task's demand on it; lower is better. */
export interface MachineChoice {
  readonly candidate: CandidateMachine;
  readonly fitness: number;
}

/** What a search needs to know about the job. */
export interface MachineSearchOptions {
  readonly spec: JobSpec;
  /** Whether the job leaves empty on-demand machines to gangs. */
  readonly leavesWholeMachinesToGangs: boolean;
}

/** The candidates as the tasks of one job see them. */
export class MachineSearch {
  /**
   * Whether a machine with room was left out for a reason that need not hold for other jobs of the same demand: the job
   * avoids the machine, or the messages about the machine have no room for its tasks.
   */
  hasExcludedForJob = false;
  private readonly zoneLimit: number;
  private readonly tiers: Float64Array;
  private readonly fitnesses: Float64Array;
  private readonly tieBreaks: Float64Array;
  /** Number of the job's tasks on each candidate that are chosen but not yet added to the totals. */
  private readonly chosenTasks: Int32Array;

  constructor(
    private readonly candidates: readonly CandidateMachine[],
    private readonly input: PlacementInput,
    private readonly options: MachineSearchOptions,
  ) {
    this.zoneLimit = maxTasksPerZone(options.spec);
    this.tiers = new Float64Array(candidates.length);
    this.fitnesses = new Float64Array(candidates.length);
    this.tieBreaks = new Float64Array(candidates.length);
    this.chosenTasks = new Int32Array(candidates.length);
    for (const candidate of candidates) this.evaluate(candidate);
  }

  /** The best machine for one more task of the job; null if none fits. */
  best({ zone, tasksPerZone }: ZoneRequest): MachineChoice | null {
    const { tiers, candidates } = this;
    let best = -1;
    let bestTier = NO_TIER;
    for (let position = 0; position < tiers.length; position++) {
      const tier = tiers[position]!;
      if (tier > bestTier || tier === NO_TIER) continue;
      if (tier === bestTier && !this.isBetter(position, best)) continue;
      const machineZone = candidates[position]!.machine.zone;
      if (zone !== null && machineZone !== zone) continue;
      if ((tasksPerZone.get(machineZone) ?? 0) >= this.zoneLimit) continue;
      best = position;
      bestTier = tier;
    }
    return best < 0 ? null : { candidate: candidates[best]!, fitness: this.fitnesses[best]! };
  }

  /** Number of further tasks of the job that fit on the machine. */
  tasksThatFitOn(candidate: CandidateMachine): number {
    const withinMessages =
      tasksWithinMessages(candidate, this.options.spec) - this.chosenTasks[candidate.position]!;
    return Math.min(withinMessages, tasksThatFit(this.options.spec.demand, this.freeOn(candidate)));
  }

  /** Counts `tasks` more tasks of the job as chosen for the machine, or takes back as many if it is negative. */
  choose(candidate: CandidateMachine, tasks: number): void {
    this.chosenTasks[candidate.position]! += tasks;
    this.evaluate(candidate);
  }

  /** Evaluates the machine again, after the pass has placed something on it. */
  evaluate(candidate: CandidateMachine): void {
    const { position, machine } = candidate;
    const { spec, leavesWholeMachinesToGangs } = this.options;
    const chosen = this.chosenTasks[position]!;
    this.tiers[position] = NO_TIER;
    const free = this.freeOn(candidate);
    if (!fitsWithin(spec.demand, free) || !this.isEligible(candidate, chosen)) return;
    const isEmpty = candidate.allocationCount + chosen === 0;
    if (isEmpty && leavesWholeMachinesToGangs && !machine.spot) return;
    const fetchRank = fetchRankOf(candidate, spec.image, this.input);
    this.tiers[position] = this.tierOf(machine, isEmpty, fetchRank);
    this.fitnesses[position] = fitness(spec.demand, free, this.input.totals.fleetCapacity);
    this.tieBreaks[position] = this.tieBreakOf(candidate, chosen, fetchRank);
  }

  private freeOn({ position, machine }: CandidateMachine): ResourceVector {
    const free = this.input.totals.freeByMachine.get(machine.name)!;
    const chosen = this.chosenTasks[position]!;
    return chosen === 0 ? free : addResources(free, this.options.spec.demand, -chosen);
  }

  private isEligible(candidate: CandidateMachine, chosen: number): boolean {
    const { spec } = this.options;
    if (isReservedForOther(candidate, spec) || !allowsMachine(spec, candidate.machine)) return false;
    const hasMessageRoom = tasksWithinMessages(candidate, spec) > chosen;
    if (hasMessageRoom && !this.input.isAvoided(spec.id, candidate.machine.name)) return true;
    this.hasExcludedForJob = true;
    return false;
  }

  private tierOf(machine: MachineRecord, isEmpty: boolean, fetchRank: number): number {
    const offset = this.options.spec.spot && !machine.spot ? ON_DEMAND_TIER_OFFSET : 0;
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
    const hasPenalty = !isRecordWritten && this.options.spec.kind !== 'service';
    return hasPenalty ? fetchRank + NEW_RECORD_PENALTY : fetchRank;
  }

  /**
   * Whether a candidate is better than the best so far of the same tier: by fitness beyond the tolerance, then by
   * tie-break, then by exact fitness.
   */
  private isBetter(position: number, best: number): boolean {
    const { fitnesses, tieBreaks } = this;
    const { fitnessTolerance } = this.input;
    const fit = fitnesses[position]!;
    const bestFit = fitnesses[best]!;
    if (fit < bestFit - fitnessTolerance) return true;
    if (fit >= bestFit + fitnessTolerance) return false;
    if (tieBreaks[position] !== tieBreaks[best]) return tieBreaks[position]! < tieBreaks[best]!;
    return fit < bestFit;
  }
}
