/** Input and result of a placement pass. */
import type { JobOrderContext } from '../jobs/job-order.js';
import type { Attempt, JobId, MachineName, TaskIndex } from '../model/ids.js';
import type { JobRecord, JobSpec } from '../model/jobs.js';
import type { MachineRecord } from '../model/machines.js';
import type { AllocationTotals } from '../state/allocation-totals.js';

/**
 * The highest fetch rank: the machine is fetching other images, which share its bandwidth. Rank 0 stands for a cached
 * image, 1 for one that is being fetched already, 2 for a machine that fetches nothing.
 */
export const FETCH_RANK_BUSY = 3;

/** A task that is to start on a machine, with what decided it. */
export interface Placement {
  readonly job: JobSpec;
  readonly index: TaskIndex;
  readonly machine: MachineRecord;
  readonly attempt: Attempt;
  /** Weighted dominant share of the team before the placement. */
  readonly share: number;
  /** Fitness H of the demand on the machine; less is better. */
  readonly fitness: number;
  readonly fetchRank: number;
}

/** What a placement pass needs to know. Its callbacks have no effects and may be called for each task and machine. */
export interface PlacementInput {
  readonly jobs: Iterable<JobRecord>;
  /** Machines that may get new tasks; the totals include all others, too. */
  readonly machines: readonly MachineRecord[];
  readonly totals: AllocationTotals;
  readonly newAttempt: () => Attempt;
  /** How long the machine would need for the image, as a rank; see `FETCH_RANK_BUSY`. */
  readonly fetchRank: (machine: MachineRecord, image: string) => number;
  /** Whether the job should not go to the machine for now. */
  readonly isAvoided: (job: JobId, machine: MachineName) => boolean;
  /** How many bytes a machine's record has left for further tasks: the state service limits its size. */
  readonly recordBytesLeft: (machine: MachineName) => number;
  /** The pass ends after so many tasks. */
  readonly maxPlacements: number;
  /** The pass ends after tasks on so many machines, since each machine is a change to write. */
  readonly maxMachines: number;
  readonly order: Omit<JobOrderContext, 'hasTasks'>;
  /** Whether the job leaves empty on-demand machines to waiting gangs, since it may use spot machines. */
  readonly leavesWholeMachinesToGangs: (job: JobRecord) => boolean;
  /** Whether empty machines are used last, since some jobs need whole ones. */
  readonly preferPartlyUsedMachines: boolean;
  /** Whether a gang has waited so long that machines are reserved for it. */
  readonly mayReserve: (job: JobRecord) => boolean;
  /** Whether the job has waited too long to stay behind a gang that waits for its team's quota. */
  readonly isStarving: (job: JobRecord) => boolean;
  /** Whether the job fails on every machine: only one of its tasks is tried at a time. */
  readonly isFailingEverywhere: (job: JobRecord) => boolean;
  /** Machines whose fitness differs by less than this count as fitting equally well. */
  readonly fitnessTolerance: number;
}

/** Why a job was passed over, as the status command and the logs show it. */
export type WaitReason = 'team_limit' | 'no_room' | 'old_attempt' | 'behind_gang' | 'failing';

/** What came of the attempt to place a task, or a whole gang. */
export type PlacementOutcome = 'placed' | 'no_tasks_left' | WaitReason;

/** The placements of one pass, and why the other jobs wait. */
export interface PlacementResult {
  readonly placements: readonly Placement[];
  readonly waitReasons: ReadonlyMap<JobId, WaitReason>;
}
