/** What reports teach about machines and jobs, kept in memory only: losing it costs time, never a rule. */
import type { ExitReason, Heartbeat } from '../core/model/heartbeats.js';
import type { JobId, MachineName } from '../core/model/ids.js';
import type { JobRecord } from '../core/model/jobs.js';
import type { MachineRecord, Allocation } from '../core/model/machines.js';
import { monotonicMs, type MonotonicMs } from '../core/model/time.js';
import { evictOldest } from '../core/bounded-map.js';
import { FailureTracker, RUNS_WELL_MS } from '../core/health/failure-tracker.js';
import type { Hint } from '../plugin-host/api.js';
import { jsonBytes } from '../core/records/stored-records.js';
import { SlowMachineDetector, type TaskRun } from '../core/health/slow-machine-detector.js';
import { isNewer } from '../core/agents/agent-session.js';
import { taskKey } from '../core/agents/task-key.js';
import type { ControllerContext } from './controller-context.js';

/** So many reports, and pauses between a job and a machine, are remembered at least; for larger fleets more. */
const MIN_HEARTBEATS_KEPT = 4000;
const MIN_AVOIDED_KEPT = 5000;
/** A job whose task failed on a machine, or found it full, does not go there again for so long. */
const AVOID_AFTER_ERROR_MS = 60_000;
const AVOID_AFTER_REFUSAL_MS = 3000;

/** Remembers failures, caches and run times of machines and jobs. */
export class HealthTracker {
  readonly failures: FailureTracker;
  private readonly avoidedUntil = new Map<string, MonotonicMs>();
  /** Images that machines were seen to have, the latest used last. */
  private readonly observedImages = new Map<MachineName, Set<string>>();
  private readonly imageGb = new Map<string, number>();
  private readonly lastHeartbeats = new Map<MachineName, Heartbeat>();

  private readonly slowness: SlowMachineDetector;
  /** Since when tasks have been seen running, by machine and task. */
  private readonly runningSince = new Map<MachineName, Map<string, MonotonicMs>>();

  constructor(
    private readonly context: ControllerContext,
    random: () => number,
  ) {
    const { slow_factor, slow_runs } = context.operator.fleet;
    this.slowness = new SlowMachineDetector({ factor: slow_factor, runs: slow_runs, samples: 12 });
    this.failures = new FailureTracker(random);
    context.viewChanges.subscribe(({ machines, jobs }) => {
      for (const id of jobs) if (!context.view.jobs.has(id)) this.failures.forgetJob(id);
      for (const name of machines) {
        if (context.view.machines.has(name)) continue;
        this.slowness.forgetMachine(name);
        this.runningSince.delete(name);
        this.failures.forgetMachine(name);
        this.lastHeartbeats.delete(name);
        this.observedImages.delete(name);
      }
    });
  }

  private observeRunningTasks(r: Heartbeat): void {
    const t = this.context.clock.now();
    const before = this.runningSince.get(r.machine);
    const now = new Map<string, MonotonicMs>();
    for (const task of r.tasks) {
      const k = taskKey(task.job, task.index, task.attempt);
      const since = before?.get(k);
      if (task.state === 'running') now.set(k, since ?? t);
      const spec = this.context.view.jobs.get(task.job)?.spec;
      // A late report of a job that is over teaches nothing: nobody would forget it again.
      if (spec !== undefined && task.state === 'running' && since !== undefined && t - since >= RUNS_WELL_MS)
        this.failures.recordLongRun(task.job);
      // A gang runs only as fast as its slowest machine, so its time says nothing about this one.
      if (task.exitReason === 'done' && since !== undefined && spec?.kind === 'array')
        this.recordRun(r.machine, {
          job: task.job,
          jobClass: spec.class,
          durationS: (t - since) / 1000,
          estimateS: spec.estimateS,
        });
    }
    this.runningSince.set(r.machine, now);
  }

  private recordRun(machine: MachineName, run: TaskRun): void {
    const { events } = this.context;
    this.slowness.recordRun(machine, run);
    if (events.isActive) events.emit({ kind: 'task_ran', machine, run });
  }

  /** Takes in what another controller has learned; nothing that is known here is replaced by anything older. */
  applyHint(hint: Hint): void {
    const { view, clock } = this.context;
    switch (hint.kind) {
      case 'agent': {
        const machine = view.machines.get(hint.machine);
        if (machine === undefined || !view.typesByName.has(machine.type)) return;
        const { type, zone, spot } = machine;
        const { address, agentEpoch, sequence, token } = hint;
        this.keepIfNewest({
          machine: hint.machine,
          address,
          type,
          zone,
          spot,
          agentEpoch,
          sequence,
          token,
          preemptionNoticeS: null,
          tasks: [],
        });
        return;
      }
      case 'job_failing': {
        if (!view.jobs.has(hint.job)) return;
        const until = monotonicMs(clock.now() + hint.retryInMs);
        this.failures.mergeFailures(hint.job, { ...hint, machines: new Set(hint.machines), until });
        return;
      }
      case 'task_ran':
        if (view.machines.has(hint.machine)) this.slowness.recordRun(hint.machine, hint.run);
    }
  }

  /** Keeps the report if it is the newest of its worker. */
  private keepIfNewest(r: Heartbeat): boolean {
    const known = this.lastHeartbeats.get(r.machine);
    if (known !== undefined && isNewer(known, r)) return false;
    this.lastHeartbeats.delete(r.machine);
    this.lastHeartbeats.set(r.machine, r);
    evictOldest(this.lastHeartbeats, Math.max(MIN_HEARTBEATS_KEPT, 2 * this.context.view.machines.size));
    return true;
  }

  /** The newest report that any process of this node got, for the worker's address and session. */
  observeHeartbeat(r: Heartbeat): void {
    if (!this.keepIfNewest(r)) return;
    this.observeRunningTasks(r);
    for (const t of r.tasks) {
      if (t.state === 'fetching' || (t.state === 'exited' && t.exitReason !== 'done')) continue;
      const spec = this.context.view.jobs.get(t.job)?.spec;
      if (spec === undefined) continue;
      let set = this.observedImages.get(r.machine);
      if (set === undefined) this.observedImages.set(r.machine, (set = new Set()));
      set.delete(spec.image);
      set.add(spec.image);
      if (this.imageGb.size > MIN_HEARTBEATS_KEPT) this.imageGb.clear();
      this.imageGb.set(spec.image, spec.imageGb);
    }
  }

  lastHeartbeat(m: MachineName): Heartbeat | null {
    return this.lastHeartbeats.get(m) ?? null;
  }

  hasImage(m: MachineRecord, image: string): boolean {
    return this.observedImages.get(m.name)?.has(image) === true || m.images?.includes(image) === true;
  }

  /**
   * What the machine has cached as far as is known, the latest used last and no more than its cache holds. It goes into
   * the machine's record with the next change: whoever gets the machine would else know nothing, and fetch anew.
   */
  cachedImages(m: MachineRecord): string[] {
    const set = new Set(m.images);
    for (const image of this.observedImages.get(m.name) ?? []) {
      set.delete(image);
      set.add(image);
    }
    const out: string[] = [];
    let gb = this.context.view.typesByName.get(m.type)?.cacheGb ?? 0;
    let room = this.context.recordBudget.imagesBytes - 12;
    for (const image of [...set].reverse()) {
      gb -= this.imageGb.get(image) ?? 0;
      room -= jsonBytes(image) + 1;
      if (gb < 0 || room < 0) break;
      out.push(image);
    }
    return out.reverse();
  }

  /** A task left a machine; some reasons say something about one or the other. */
  recordExit(m: MachineRecord, placed: Allocation, why: ExitReason | null): void {
    const { job } = placed;
    if (!this.context.view.jobs.has(job)) {
      if (why === 'done') this.failures.forgetMachine(m.name);
      return;
    }
    if (why === 'done') this.failures.recordSuccess(job, m.name);
    if (why === 'full' || why === 'in_use') this.avoidMachine(job, m.name, AVOID_AFTER_REFUSAL_MS);
    if (why === 'error') this.avoidMachine(job, m.name, AVOID_AFTER_ERROR_MS);
    if (why !== 'error' && why !== 'unknown') return;
    const known = this.context.view.jobs.get(job)?.failing;
    this.failures.recordFailure(job, m.name, why, this.context.clock.now(), known?.rounds);
    const failures = this.failures.failuresOf(job);
    const { events } = this.context;
    if (events.isActive && failures !== null) events.emit({ kind: 'job_failing', job, failures });
  }

  private avoidMachine(job: JobId, machine: MachineName, ms: number): void {
    const key = `${job} ${machine}`;
    this.avoidedUntil.delete(key);
    this.avoidedUntil.set(key, (this.context.clock.now() + ms) as MonotonicMs);
    evictOldest(this.avoidedUntil, Math.max(MIN_AVOIDED_KEPT, 2 * this.context.view.machines.size));
  }

  avoidsMachine(job: JobId, machine: MachineName): boolean {
    const until = this.avoidedUntil.get(`${job} ${machine}`);
    return until !== undefined && until > this.context.clock.now();
  }

  /** Whether the job fails wherever it runs, as far as this controller or an earlier owner of its team has seen. */
  isFailingEverywhere(job: JobRecord): boolean {
    return job.failing !== undefined || this.failures.failuresOf(job.spec.id) !== null;
  }

  /** Whether it fails everywhere and is not to be tried yet. */
  isBackingOff(job: JobRecord): boolean {
    const { clock } = this.context;
    if ((job.failing?.until ?? 0) > clock.wallClock()) return true;
    return (this.failures.failuresOf(job.spec.id)?.until ?? 0) > clock.now();
  }

  /** A machine that fails what it starts, or runs it much slower than others. */
  isQuarantined(m: MachineRecord): boolean {
    return this.slowness.isSlow(m.name) || this.failures.isFaulty(m.name);
  }
}
