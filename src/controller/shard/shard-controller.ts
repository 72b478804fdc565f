/**
 * The reconcile loop over this controller's machines and teams: commits what heartbeats prove and places pending tasks.
 * Apart from the leader's, all changes to records of owned machines are committed by this loop, one transaction at a
 * time.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import type { AgentCommand, Heartbeat } from '../../core/model/heartbeats.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import type { WaitReason } from '../../core/placement/placement-types.js';
import type { ViewChanges } from '../../core/state/view-changes.js';
import type { AgentGateway } from '../../io/agents/agent-client.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import type { ChangeSet } from '../../io/state/change-set.js';
import { commitChangeSets } from '../../io/state/transaction-commit.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health/health-tracker.js';
import { Notification } from '../notification.js';
import { AgentSessions, type MachineObservation } from './agent-sessions.js';
import { JobReconciler } from './job-reconciler.js';
import { MachineReconciler, type ChangeUrgency } from './machine-reconciler.js';
import { PlacementPass } from './placement-pass.js';
import { TaskExits, type UncommittedResults } from './task-exits.js';
import { FULL_RECONCILE_INTERVAL_MS } from './timing.js';

/** Longest wait of the loop for a notification before its next pass. */
const MAX_IDLE_MS = 200;
/** Pause after a pass whose changes were all committed. */
const PASS_PAUSE_MS = 20;
/** Pause after a pass with a change that was not committed. */
const RETRY_DELAY_MS = 100;
/** Pause after a pass that threw an error. */
const ERROR_DELAY_MS = 300;
/** Time that one pass may spend on committing its deferred changes. */
const MAX_DEFERRED_COMMIT_MS = 1000;
/**
 * Minimum pause between placement passes, as a multiple of the planning time of the last one: planning takes at most a
 * quarter of the processor time, so that heartbeats and lease renewals are not delayed.
 */
const PLACEMENT_PAUSE_FACTOR = 3;

/** Changes that one pass has decided beside placements, in the order in which they are committed. */
interface ReconciledChanges {
  readonly urgent: readonly ChangeSet[];
  /** Committed after the placement pass. */
  readonly deferred: readonly ChangeSet[];
}

/** Reconciles the machines and jobs of the shards that this controller holds. */
export class ShardController {
  private readonly notification: Notification;
  private readonly sessions: AgentSessions;
  private readonly taskExits: TaskExits;
  private readonly machines: MachineReconciler;
  private readonly jobs: JobReconciler;
  private readonly placementPass: PlacementPass;
  /** Machines with a heartbeat or a committed change since they were last reconciled. */
  private readonly dirtyMachines = new Set<MachineName>();
  private nextFullReconcileAt = Number.NEGATIVE_INFINITY;
  /** Whether something that placement depends on has changed since the last placement pass. */
  private isPlacementDue = true;
  /** Time on the monotonic clock before which no placement pass runs. */
  private nextPlacementAt = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: ControllerContext,
    agents: AgentGateway,
    health: HealthTracker,
  ) {
    this.notification = new Notification(context.clock);
    this.sessions = new AgentSessions(context, agents, health, (observation) => {
      this.onMachineObserved(observation);
    });
    this.taskExits = new TaskExits(context);
    this.machines = new MachineReconciler(context, this.sessions, health, this.taskExits, () => {
      this.isPlacementDue = true;
    });
    this.jobs = new JobReconciler(context, health);
    this.placementPass = new PlacementPass(context, this.sessions, health, this.taskExits, this.machines);
    context.viewChanges.subscribe((changes) => {
      this.onViewChanges(changes);
    });
  }

  /** Why the last placement pass left jobs of this controller's teams pending. */
  get waitReasons(): ReadonlyMap<JobId, WaitReason> {
    return this.placementPass.waitReasons;
  }

  /** Records a heartbeat of an owned machine and returns the commands for its agent. */
  commandsFor(machine: MachineRecord, heartbeat: Heartbeat): readonly AgentCommand[] {
    return this.sessions.commandsFor(machine, heartbeat);
  }

  /** Begins the cancellation of a job of an owned team with the next pass. */
  requestCancellation(id: JobId): void {
    this.jobs.requestCancellation(id);
    this.notification.notify();
  }

  /** Runs the loop for the lifetime of the process. An error in a pass is logged, and the loop continues. */
  async run(): Promise<never> {
    const { context } = this;
    for (;;) {
      await this.notification.wait(MAX_IDLE_MS);
      if (!context.watcher.isReady || context.view.types === null) continue;
      const machines = this.takeDirtyMachines();
      try {
        const isCommitted = await this.runPass(machines);
        if (!isCommitted) for (const name of machines) this.dirtyMachines.add(name);
        await context.clock.sleep(isCommitted ? PASS_PAUSE_MS : RETRY_DELAY_MS);
      } catch (error) {
        context.log.error({ err: error }, LOG_EVENT.reconcileLoopFailed);
        await context.clock.sleep(ERROR_DELAY_MS);
      }
    }
  }

  /**
   * Runs one pass. Returns whether all its changes were committed; the others have to be decided again from a newer
   * view.
   */
  private async runPass(machines: readonly MachineName[]): Promise<boolean> {
    const { state, watcher } = this.context;
    this.sessions.sendDirectCommands(machines);
    const { urgent, deferred } = this.reconcile(machines);
    // Starts precede deferred changes, which could delay them by seconds while the write budget is short.
    let isCommitted = await commitChangeSets(state, watcher, urgent, REQUEST_PRIORITY.results);
    isCommitted = (await this.placeIfDue()) && isCommitted;
    const areDeferredCommitted = await commitChangeSets(
      state,
      watcher,
      deferred,
      REQUEST_PRIORITY.starts,
      MAX_DEFERRED_COMMIT_MS,
    );
    return areDeferredCommitted && isCommitted;
  }

  private reconcile(names: readonly MachineName[]): ReconciledChanges {
    const { context } = this;
    const desired = { jobs: context.view.jobs, totals: context.allocations.current() };
    const results: UncommittedResults = new Map();
    this.machines.beginPass();
    const machines: Record<ChangeUrgency, ChangeSet[]> = { urgent: [], deferred: [], last: [] };
    for (const name of names) {
      const change = this.machines.reconcile(name, desired, results);
      if (change !== null) machines[change.urgency].push(change.changeSet);
    }
    const prepared = this.taskExits.prepareCommits(results);
    const { finished, cancellations } = this.jobs.reconcile(prepared);
    const failing = this.jobs.recordFailingJobs(prepared.unfinishedJobs);
    const recovered = this.jobs.clearRecoveredJobs(prepared.unfinishedJobs);
    return {
      // Finished jobs come first, since other jobs may depend on them.
      urgent: [...finished, ...machines.urgent, ...cancellations],
      deferred: [...failing, ...recovered, ...machines.deferred, ...prepared.dueCommits, ...machines.last],
    };
  }

  /** Runs a placement pass if one is due. Returns false where the pass has changes that were not committed. */
  private async placeIfDue(): Promise<boolean> {
    const { clock } = this.context;
    const startedAt = clock.now();
    if (!this.isPlacementDue || startedAt < this.nextPlacementAt) return true;
    this.isPlacementDue = false;
    const plan = this.placementPass.plan();
    const endedAt = clock.now();
    this.nextPlacementAt = endedAt + (endedAt - startedAt) * PLACEMENT_PAUSE_FACTOR;
    const isCommitted = await this.placementPass.commit(plan);
    if (!isCommitted || this.placementPass.hasUntriedJobs) this.isPlacementDue = true;
    return isCommitted;
  }

  private takeDirtyMachines(): MachineName[] {
    const { context } = this;
    const now = context.clock.now();
    if (now >= this.nextFullReconcileAt) {
      this.nextFullReconcileAt = now + FULL_RECONCILE_INTERVAL_MS;
      this.isPlacementDue = true;
      for (const machine of context.ownership.ownedMachines()) this.dirtyMachines.add(machine.name);
      for (const name of this.sessions.machineNames()) this.dirtyMachines.add(name);
    }
    const machines = [...this.dirtyMachines];
    this.dirtyMachines.clear();
    return machines;
  }

  private onMachineObserved({ machine, isNewlyAvailable }: MachineObservation): void {
    this.dirtyMachines.add(machine);
    this.isPlacementDue ||= isNewlyAvailable;
    this.notification.notify();
  }

  private onViewChanges({ machines, jobs, shards, teams, types, cancellations }: ViewChanges): void {
    let needsPass = cancellations.size > 0;
    for (const name of machines) needsPass = this.markMachineDirty(name) || needsPass;
    for (const id of jobs) needsPass = this.markJobDirty(id) || needsPass;
    if (shards.size > 0 || teams.size > 0 || types) {
      this.nextFullReconcileAt = Number.NEGATIVE_INFINITY;
      this.isPlacementDue = true;
      needsPass = true;
    }
    if (needsPass) this.notification.notify();
  }

  /** Marks a changed machine for the next pass. Returns whether the change concerns this controller. */
  private markMachineDirty(name: MachineName): boolean {
    const machine = this.context.view.machines.get(name);
    if (machine !== undefined && !this.context.ownership.owns(machine)) return false;
    this.dirtyMachines.add(name);
    this.isPlacementDue = true;
    return true;
  }

  /** Marks what a changed job affects for the next pass. Returns whether the change concerns this controller. */
  private markJobDirty(id: JobId): boolean {
    const { context } = this;
    const job = context.view.jobs.get(id);
    if (job?.phase === 'active') {
      if (!context.ownership.ownsTeam(job.spec.team)) return false;
      this.isPlacementDue = true;
      return true;
    }
    const tasks = context.allocations.current().allocationsByJob.get(id)?.tasks.values() ?? [];
    for (const { machine } of tasks) this.dirtyMachines.add(machine);
    return true;
  }
}
