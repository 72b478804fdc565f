/** Turns placements into changes of machine records, one change set for each machine. */
import { groupBy } from '../../core/collections.js';
import { LOG_EVENT } from '../../core/log-events.js';
import { attempt, taskId, type Attempt, type JobId, type TeamName } from '../../core/model/ids.js';
import type { JobSpec } from '../../core/model/jobs.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { Placement } from '../../core/placement/placement-types.js';
import { key } from '../../core/records/keys.js';
import { addAllocation, allocationFor, removeExits } from '../../core/state/allocations.js';
import { GUARDS_PER_OPERATION, GuardSet, type ChangeSet } from '../../io/state/change-set.js';
import type { ControllerContext } from '../controller-context.js';
import type { AgentSessions } from './agent-sessions.js';
import type { MachineReconciler } from './machine-reconciler.js';
import type { TaskExits } from './task-exits.js';

/**
 * Number of attempts in one epoch of a shard. An attempt is composed of the epoch, which is the revision at which the
 * holder of the team's shard acquired it, and of a counter below this number.
 */
const ATTEMPTS_PER_EPOCH = 2 ** 22;

/** Significant digits of shares and fitness in log lines. */
const LOGGED_DIGITS = 5;

/** Changes of a placement pass: starts, or the preemptions of a pass without starts. */
export interface PlacementPlan {
  /** Changes that start at least one task of a gang; committed first. */
  readonly gangs: readonly ChangeSet[];
  readonly nonGangs: readonly ChangeSet[];
}

/** Builds the changes that start placed tasks. */
export class StartTransactions {
  constructor(
    private readonly context: ControllerContext,
    private readonly sessions: AgentSessions,
    private readonly taskExits: TaskExits,
    private readonly machines: MachineReconciler,
  ) {}

  /** The changes for all placements of a pass. */
  build(placements: readonly Placement[]): PlacementPlan {
    const gangs: ChangeSet[] = [];
    const nonGangs: ChangeSet[] = [];
    const byMachine = groupBy(placements, (placement) => placement.machine.name);
    for (const [name, onMachine] of byMachine) {
      const machine = this.context.view.machines.get(name)!;
      const hasGang = onMachine.some(({ job }) => job.kind === 'gang');
      (hasGang ? gangs : nonGangs).push(this.startOn(machine, onMachine));
    }
    return { gangs, nonGangs };
  }

  /** The change that starts tasks on one machine and removes tasks with durable exits from its record. */
  private startOn(machine: MachineRecord, placements: readonly Placement[]): ChangeSet {
    const { guards: guardsOf, state } = this.context;
    const guards = new GuardSet(state.limits.operationsPerTransaction * GUARDS_PER_OPERATION);
    guards.add(guardsOf.forMachine(machine));
    const exits = this.taskExits.confirmedExitsOn(machine);
    const durableExits = exits.filter((exit) => this.taskExits.isDurable(exit));
    let placed = removeExits(machine.placed, durableExits);
    // Tasks of gangs come first, since none of them may be left out.
    const gangsFirst = [...placements].sort((a, b) => kindRank(a.job) - kindRank(b.job));
    for (const ofJob of groupBy(gangsFirst, ({ job }) => job.id).values()) {
      const { job } = ofJob[0];
      // A transaction with more guards than the limit would be rejected each time, and the machine would get no more
      // tasks. Tasks whose guards do not fit are left to the next pass.
      if (!guards.add([...guardsOf.forTeam(job.team), guardsOf.forKey(key.job(job.id))])) continue;
      const startAttempt = this.attemptOf(ofJob[0]);
      const indexes = ofJob.map(({ index }) => index);
      placed = addAllocation(placed, allocationFor(job, startAttempt, indexes));
      for (const placement of ofJob) this.reportPlacement(placement, startAttempt);
    }
    const value: MachineRecord = {
      ...machine,
      phase: 'up',
      placed,
      ...this.machines.observedFields(machine, this.sessions.current(machine)),
    };
    return {
      operations: [{ key: key.machine(machine.name), value, reason: 'start' }],
      guards: guards.list(),
      // A gang of which only some starts are committed would have to be stopped again.
      groups: gangsOf(placements),
    };
  }

  /**
   * The attempt under which a placement is started, unique among all starts of the job: no two holders of the team's
   * shard have the same epoch.
   */
  private attemptOf({ job, attempt: counter }: Placement): Attempt {
    return attempt(this.epochOf(job.team) * ATTEMPTS_PER_EPOCH + (counter % ATTEMPTS_PER_EPOCH));
  }

  /** The epoch of the team's shard: the revision at which its present holder acquired it. */
  private epochOf(team: TeamName): number {
    const { view } = this.context;
    return view.versionOf(key.shard(view.teams.get(team)!.owner));
  }

  private reportPlacement(placement: Placement, startAttempt: Attempt): void {
    const { events, log, view } = this.context;
    const { index, machine, share, fitness, fetchRank } = placement;
    const { id, team } = placement.job;
    const task = { job: id, index, attempt: startAttempt, machine: machine.name };
    if (events.isActive) events.emit({ kind: 'task_placed', task, team });
    log.info(
      {
        task: taskId(id, index),
        team,
        attempt: startAttempt,
        machine: machine.name,
        token: view.fencingTokenOf(machine),
        share: Number(share.toPrecision(LOGGED_DIGITS)),
        fitness: Number(fitness.toPrecision(LOGGED_DIGITS)),
        fetchRank,
      },
      LOG_EVENT.taskPlaced,
    );
  }
}

/** The gangs with tasks among the placements, each once. */
const gangsOf = (placements: readonly Placement[]): JobId[] => [
  ...new Set(placements.filter(({ job }) => job.kind === 'gang').map(({ job }) => job.id)),
];

const kindRank = (job: JobSpec): number => (job.kind === 'gang' ? 0 : 1);
