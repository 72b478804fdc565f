/** Input and result of a placement pass. */
import type { JobOrderContext } from '../jobs/job-order.js';
import type { Attempt, JobId, MachineName, TaskIndex } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import type { MachineRoom } from '../records/machine-room.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/**
 * The highest fetch rank of an image on a machine: the machine is fetching other images, which share its
 * bandwidth. The lower ranks: 0 if the image is cached, 1 if it is being fetched already, 2 if the machine
 * fetches nothing.
 */
export const FETCH_RANK_BUSY = 3;

/** A task that is to start on a machine, with the values that decided the choice. */
export interface Placement {
  readonly job: JobSpec;
  readonly index: TaskIndex;
  readonly machine: MachineRecord;
  readonly attempt: Attempt;
  /** Weighted dominant share of the team before the placement. */
  readonly share: number;
  /** Fitness H of the demand on the machine; lower is better. */
  readonly fitness: number;
  readonly fetchRank: number;
}

/**
 * Input of a placement pass. Its callbacks but `newAttempt` have no side effects; some are called per task
 * and machine.
 */
export interface PlacementInput {
  readonly jobs: Iterable<JobRecord>;
  /** Machines that may get new tasks; the totals cover all other machines, too. */
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  /** Creates an attempt that differs from all others of this process. */
  readonly newAttempt: () => Attempt;
  /** How soon the machine would have the image, as a rank; see `FETCH_RANK_BUSY`. */
  readonly fetchRank: (machine: MachineRecord, image: string) => number;
  /** Whether the job must not be placed on the machine for now. */
  readonly isAvoided: (job: JobId, machine: MachineName) => boolean;
  /** What a machine's record and the heartbeats of its agent have left for further tasks. */
  readonly roomOf: (machine: MachineRecord) => MachineRoom;
  /** Number of placed tasks after which the pass ends. */
  readonly maxPlacements: number;
  /** Number of machines with placed tasks after which the pass ends; each is a record to write. */
  readonly maxMachines: number;
  /** What the order of a team's jobs depends on; the pass itself knows which jobs have tasks. */
  readonly order: Omit<JobOrderContext, 'hasTasks'>;
  /**
   * Whether the job has to leave empty on-demand machines to waiting gangs, since it may use spot machines.
   */
  readonly leavesWholeMachinesToGangs: (job: JobRecord) => boolean;
  /** Whether empty machines are used last, since some jobs need whole machines. */
  readonly preferPartlyUsedMachines: boolean;
  /** Whether the job is a gang that has waited long enough for machines to be reserved for it. */
  readonly mayReserve: (job: JobRecord) => boolean;
  /** Whether the job has waited too long to be held back behind a gang that waits for quota of their team. */
  readonly isStarving: (job: JobRecord) => boolean;
  /** Whether the job fails on every machine; then only one of its tasks is tried at a time. */
  readonly isFailingEverywhere: (job: JobRecord) => boolean;
  /** Machines whose fitness differs by less than this are considered to fit equally well. */
  readonly fitnessTolerance: number;
}

/** Why a job was not placed; the status command and the logs show it. */
export type WaitReason = 'team_limit' | 'no_room' | 'old_attempt' | 'behind_gang' | 'failing';

/** Outcome of trying to place the next task of a job, or a whole gang. */
export type PlacementOutcome = 'placed' | 'no_tasks_left' | WaitReason;

/** The placements of one pass, and why jobs that it could not place wait. */
export interface PlacementResult {
  readonly placements: readonly Placement[];
  readonly waitReasons: ReadonlyMap<JobId, WaitReason>;
  /** Whether the pass ended before it tried all jobs, since it had done as much work as one pass may do. */
  readonly isCutShort: boolean;
}
