/**
 * The loop of a controller over its own machines and teams: it turns what reports prove into changes and places waiting
 * tasks. All changes to machine records leave through this one loop, one transaction at a time.
 */
import { LOG_EVENT } from '../../core/log-events.js';
import type { ViewChanges } from '../../core/state/view-changes.js';
import type { WaitReason } from '../../core/placement/placement.js';
import type { Heartbeat } from '../../core/model/heartbeats.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { MachineRecord } from '../../core/model/machines.js';
import { REQUEST_PRIORITY } from '../../io/rate-limiter.js';
import { commitChangeSets, type ChangeSet } from '../../io/state/transactions.js';
import type { AgentGateway } from '../../io/agents/agent-client.js';
import type { ControllerContext } from '../controller-context.js';
import type { HealthTracker } from '../health-tracker.js';
import { Notification } from '../notification.js';
import { JobReconciler } from './job-reconciler.js';
import { MachineReconciler } from './machine-reconciler.js';
import { AgentSessions, type HeartbeatReply } from './agent-sessions.js';
import { TaskExits, type UncommittedResults } from './task-exits.js';
import { PlacementPass } from './placement-pass.js';
import { FULL_RECONCILE_INTERVAL_MS } from './timing.js';

export type { HeartbeatReply as ReportAnswer } from './agent-sessions.js';

/** The loop looks at its work so often without being notified. */
const IDLE_MS = 200;
/** Pauses after a pass, after one that was not committed as a whole, and after an error. */
const PAUSE_MS = 20;
const RETRY_MS = 100;
const ERROR_MS = 300;
/** How long one pass may spend on what only tidies up. */
const TIDY_MS = 1000;
/** A plan may take its time, but never so much that reports and renewals wait for one after the other. */
const PLAN_PART = 3;

/** The loop over this controller's machines and teams. */
export class ShardController {
  private readonly notification: Notification;
  private readonly sessions: AgentSessions;
  private readonly taskExits: TaskExits;
  private readonly machines: MachineReconciler;
  private readonly jobs: JobReconciler;
  private readonly placementPass: PlacementPass;
  /** Machines of which something was heard or written since they were last looked at. */
  private readonly dirty = new Set<MachineName>();
  /** When all machines are looked at again. */
  private nextFullReconcileAt = Number.NEGATIVE_INFINITY;
  /** Something that placing depends on has changed. */
  private isPlacementDue = true;
  private placementNotBefore = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly context: ControllerContext,
    agents: AgentGateway,
    health: HealthTracker,
  ) {
    this.notification = new Notification(context.clock);
    this.sessions = new AgentSessions(context, agents, health, (name, mayPlace) => {
      this.onMachineObserved(name, mayPlace);
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

  /** Why waiting jobs of this controller's teams were passed over last time. */
  get waitReasons(): ReadonlyMap<JobId, WaitReason> {
    return this.placementPass.waitReasons;
  }

  /** Takes in a report of one of this controller's machines and says what the worker is to do. */
  answerHeartbeat(machine: MachineRecord, heartbeat: Heartbeat): HeartbeatReply {
    return this.sessions.answerHeartbeat(machine, heartbeat);
  }

  /** A user asked this controller to cancel a job of its own team. */
  requestCancellation(id: JobId): void {
    this.jobs.requestCancellation(id);
    this.notification.notify();
  }

  async run(): Promise<never> {
    const { context } = this;
    for (;;) {
      await this.notification.wait(IDLE_MS);
      if (!context.watcher.isReady || context.view.types === null) continue;
      const work = this.takeDirtyMachines();
      try {
        const ok = await this.runPass(work);
        if (!ok) for (const name of work) this.dirty.add(name);
        await context.clock.sleep(ok ? PAUSE_MS : RETRY_MS);
      } catch (e) {
        context.log.error({ err: e }, LOG_EVENT.reconcileLoopFailed);
        await context.clock.sleep(ERROR_MS);
      }
    }
  }

  /** False: not all was committed, and what is left has to be worked out anew. */
  private async runPass(work: readonly MachineName[]): Promise<boolean> {
    const { state, watcher } = this.context;
    this.sessions.sendDirectCommands(work);
    const { now, later } = this.reconcile(work);
    // Starts go before what only tidies up: under a short budget they would wait for seconds behind it.
    let ok = await commitChangeSets(state, watcher, now, REQUEST_PRIORITY.results);
    ok = (await this.placeIfDue()) && ok;
    return (await commitChangeSets(state, watcher, later, REQUEST_PRIORITY.starts, TIDY_MS)) && ok;
  }

  /** Results, proofs of absence, cancellations and machines that came up; what can wait for starts stands apart. */
  private reconcile(work: readonly MachineName[]): { now: ChangeSet[]; later: ChangeSet[] } {
    const { context } = this;
    const wanted = { jobs: context.view.jobs, totals: context.allocations.current() };
    const found: UncommittedResults = new Map();
    this.machines.beginPass();
    const urgent: ChangeSet[] = [];
    const later: ChangeSet[] = [];
    for (const name of work) {
      const change = this.machines.reconcile(name, wanted, found);
      if (change !== null) (change.isUrgent ? urgent : later).push(change.changeSet);
    }
    const settled = this.taskExits.prepareCommits(found);
    // Ends of jobs first of all: other jobs may wait for them.
    const { ends, cancellations } = this.jobs.reconcile(settled);
    const failing = this.jobs.recordFailingJobs(settled.unfinishedJobs);
    return {
      now: [...ends, ...urgent, ...cancellations],
      later: [...failing, ...later, ...settled.dueCommits],
    };
  }

  private async placeIfDue(): Promise<boolean> {
    const { clock } = this.context;
    const start = clock.now();
    if (!this.isPlacementDue || start < this.placementNotBefore) return true;
    this.isPlacementDue = false;
    const plan = this.placementPass.plan();
    const end = clock.now();
    this.placementNotBefore = end + (end - start) * PLAN_PART;
    const ok = await this.placementPass.commit(plan);
    if (!ok) this.isPlacementDue = true;
    return ok;
  }

  /** The machines to look at now. */
  private takeDirtyMachines(): MachineName[] {
    const { context } = this;
    const now = context.clock.now();
    if (now >= this.nextFullReconcileAt) {
      this.nextFullReconcileAt = now + FULL_RECONCILE_INTERVAL_MS;
      this.isPlacementDue = true;
      for (const m of context.ownership.ownedMachines()) this.dirty.add(m.name);
      for (const name of this.sessions.names()) this.dirty.add(name);
    }
    const work = [...this.dirty];
    this.dirty.clear();
    return work;
  }

  private onMachineObserved(name: MachineName, mayPlace: boolean): void {
    this.dirty.add(name);
    this.isPlacementDue ||= mayPlace;
    this.notification.notify();
  }

  private onViewChanges({ machines, jobs, shards, teams, types, cancellations }: ViewChanges): void {
    let concerned = cancellations.size > 0;
    for (const name of machines) concerned = this.markMachineDirty(name) || concerned;
    for (const id of jobs) concerned = this.markJobDirty(id) || concerned;
    if (shards.size > 0 || teams.size > 0 || types) {
      this.nextFullReconcileAt = Number.NEGATIVE_INFINITY;
      this.isPlacementDue = true;
      concerned = true;
    }
    if (concerned) this.notification.notify();
  }

  /** Whether the change concerns this controller. */
  private markMachineDirty(name: MachineName): boolean {
    const machine = this.context.view.machines.get(name);
    if (machine !== undefined && !this.context.ownership.owns(machine)) return false;
    this.dirty.add(name);
    this.isPlacementDue = true;
    return true;
  }

  private markJobDirty(id: JobId): boolean {
    const { context } = this;
    const job = context.view.jobs.get(id);
    if (job?.phase === 'active') {
      if (!context.ownership.ownsTeam(job.spec.team)) return false;
      this.isPlacementDue = true;
      return true;
    }
    for (const at of context.allocations.current().jobs.get(id)?.tasks.values() ?? [])
      this.dirty.add(at.machine);
    return true;
  }
}
