/** Candidate machines of a placement pass. */
import { allowsMachineType } from '../jobs/feasibility.js';
import type { JobId, Zone } from '../model/ids.js';
import { PRIORITY_RANK, type JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import { fitsWithin, tasksThatFit, type ResourceVector } from '../model/resources.js';
import { roomAfter, tasksWithinRoom, type MachineRoom } from '../records/machine-room.js';
import type { AllocationTotals } from '../state/allocation-totals.js';
import { FETCH_RANK_BUSY, type PlacementInput } from './placement-types.js';

/** A machine that may get tasks in a placement pass, with the decisions of the pass about it so far. */
export interface CandidateMachine {
  /** Position of the machine among the candidates of the pass. */
  readonly position: number;
  readonly machine: MachineRecord;
  /** What the machine's record and the heartbeats of its agent have left for further tasks. */
  room: MachineRoom;
  /** Jobs of which this pass has placed tasks on the machine. */
  readonly placedJobs: Set<JobId>;
  /** Number of allocations in the machine's record plus tasks placed by this pass; 0 for an empty machine. */
  allocationCount: number;
  /** Images that the machine has to fetch for tasks of this pass. */
  readonly imagesToFetch: Set<string>;
  /** The gang that the machine is reserved for; null if it is not reserved. */
  reservedFor: JobSpec | null;
}

/**
 * The machines of a pass that can fit the smallest pending demand (null: no pending jobs, hence no
 * candidates). Most machines are full, so skipping them bounds the cost of the pass.
 */
export function candidateMachines(
  { machines, totals, roomOf }: PlacementInput,
  smallestDemand: ResourceVector | null,
): CandidateMachine[] {
  if (smallestDemand === null) return [];
  return machines
    .filter(({ name }) => fitsWithin(smallestDemand, totals.freeByMachine.get(name)!))
    .map((machine, position) => ({
      position,
      machine,
      room: roomOf(machine),
      placedJobs: new Set(),
      allocationCount: machine.placed.length,
      imagesToFetch: new Set(),
      reservedFor: null,
    }));
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
  return Math.min(tasksWithinMessages(candidate, spec), tasksThatFit(spec.demand, free));
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

/** Counts tasks of the job as placed on the machine. Tasks of one job placed in the same pass share an allocation. */
export function takeRoom(candidate: CandidateMachine, spec: JobSpec, tasks: number): void {
  candidate.room = roomAfter(candidate.room, spec, tasks, candidate.placedJobs.has(spec.id));
  candidate.placedJobs.add(spec.id);
  candidate.allocationCount += tasks;
}

/** Whether the machine is reserved for another gang of at least the same priority. */
export function isReservedForOther({ reservedFor }: CandidateMachine, spec: JobSpec): boolean {
  if (reservedFor === null || reservedFor.id === spec.id) return false;
  return PRIORITY_RANK[reservedFor.priority] <= PRIORITY_RANK[spec.priority];
}

/** Number of further tasks of the job that the machine's record and the heartbeats of its agent can name. */
export function tasksWithinMessages({ room, placedJobs }: CandidateMachine, spec: JobSpec): number {
  return tasksWithinRoom(room, spec, placedJobs.has(spec.id));
}
