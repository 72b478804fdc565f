/**
 * The health of machines and jobs, as heartbeats and exits of tasks show it. Kept in memory only: losing it delays
 * decisions, but causes no wrong ones.
 */
import { FailureTracker } from '../../core/health/failure-tracker.js';
import { SlowMachineDetector, type TaskRun } from '../../core/health/slow-machine-detector.js';
import type { ExitReason, Heartbeat } from '../../core/model/heartbeats.js';
import type { JobId, MachineName } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { Allocation, MachineRecord } from '../../core/model/machines.js';
import { monotonicMs } from '../../core/model/time.js';
import type { ViewChanges } from '../../core/state/view-changes.js';
import type { Hint } from '../../plugin-host/api.js';
import type { ControllerContext } from '../controller-context.js';
import { AvoidedMachines } from './avoided-machines.js';
import { LatestHeartbeats } from './latest-heartbeats.js';
import { ObservedImages } from './observed-images.js';
import { TaskRunObserver } from './task-run-observer.js';

/** Limit on the heartbeats kept in a small fleet; in a larger one it is twice the number of machines. */
const MIN_HEARTBEATS_KEPT = 4000;
/** Limit on avoided pairs of job and machine in a small fleet; in a larger one it is twice the number of machines. */
const MIN_AVOIDED_KEPT = 5000;
/** How long a job is not placed on a machine after one of its tasks failed there. */
const AVOID_AFTER_ERROR_MS = 60_000;
/** How long a job is not placed on a machine that refused one of its tasks for lack of room. */
const AVOID_AFTER_REFUSAL_MS = 3000;
/** Runs of a job or a class that must be known before others are compared with them. */
const MIN_RUN_SAMPLES = 12;

type AgentHint = Extract<Hint, { kind: 'agent' }>;
type JobFailingHint = Extract<Hint, { kind: 'job_failing' }>;

/** Tracks which machines are quarantined or avoided, which jobs fail, and which images machines have cached. */
export class HealthTracker {
  readonly failures: FailureTracker;
  private readonly slowMachines: SlowMachineDetector;
  private readonly avoidedMachines: AvoidedMachines;
  private readonly images: ObservedImages;
  private readonly taskRuns: TaskRunObserver;
  private readonly latestHeartbeats = new LatestHeartbeats();

  constructor(
    private readonly context: ControllerContext,
    random: () => number,
  ) {
    const { slow_factor, slow_runs } = context.operator.fleet;
    this.failures = new FailureTracker(random);
    this.slowMachines = new SlowMachineDetector({
      factor: slow_factor,
      latestRuns: slow_runs,
      minSamples: MIN_RUN_SAMPLES,
    });
    this.avoidedMachines = new AvoidedMachines(context.clock);
    this.images = new ObservedImages(context);
    this.taskRuns = new TaskRunObserver(context, {
      onRunning: (job, durationMs) => {
        this.recordRunning(job, durationMs);
      },
      onRunFailed: (job, durationMs) => {
        this.failures.recordFailedRun(job, durationMs);
      },
      onRunFinished: (machine, run) => {
        this.recordRun(machine, run);
      },
    });
    context.viewChanges.subscribe((changes) => {
      this.applyViewChanges(changes);
    });
  }

  /** Processes a heartbeat of any machine, owned or not; ignores it where a newer one of the machine is known. */
  observeHeartbeat(heartbeat: Heartbeat): void {
    if (!this.keepIfNewest(heartbeat)) return;
    this.taskRuns.observe(heartbeat);
    this.images.observe(heartbeat);
  }

  /** The newest known heartbeat of the machine; null where none is known. */
  latestHeartbeat(machine: MachineName): Heartbeat | null {
    return this.latestHeartbeats.get(machine);
  }

  /** Whether the machine is known to have cached the image. */
  hasImage(machine: MachineRecord, image: string): boolean {
    return this.images.has(machine, image);
  }

  /** The images that the machine's record should name, the most recently used last. */
  cachedImages(machine: MachineRecord): string[] {
    return this.images.cachedOn(machine);
  }

  /**
   * Updates the health of a task's job and of its machine after its exit. The reason is null where the machine does not
   * know the task.
   */
  recordExit(machine: MachineRecord, { job }: Allocation, reason: ExitReason | null): void {
    const { name } = machine;
    const record = this.context.view.jobs.get(job);
    if (record === undefined) {
      if (reason === 'done') this.failures.forgetMachine(name);
      return;
    }
    if (reason === 'done') this.failures.recordSuccess(job, name);
    if (reason === 'full' || reason === 'in_use') this.avoid(job, name, AVOID_AFTER_REFUSAL_MS);
    if (reason === 'error') this.avoid(job, name, AVOID_AFTER_ERROR_MS);
    if (reason === 'error' || reason === 'unknown') this.recordFailure(record, name, reason);
  }

  /** Merges an observation of another controller; never replaces newer ones of this controller. */
  applyHint(hint: Hint): void {
    switch (hint.kind) {
      case 'agent':
        this.applyAgentHint(hint);
        return;
      case 'job_failing':
        this.applyJobFailingHint(hint);
        return;
      case 'task_ran':
        if (this.context.view.machines.has(hint.machine)) this.slowMachines.recordRun(hint.machine, hint.run);
    }
  }

  /** Whether the job should not be placed on the machine for now. */
  avoidsMachine(job: JobId, machine: MachineName): boolean {
    return this.avoidedMachines.isAvoided(job, machine);
  }

  /** Whether the job fails on every machine, according to this controller or an earlier owner of its team. */
  isFailingEverywhere(job: JobRecord): boolean {
    return job.failing !== undefined || this.failures.failuresOf(job.spec.id) !== null;
  }

  /** Whether the job fails on every machine and its backoff has not ended. */
  isBackingOff(job: JobRecord): boolean {
    const { clock } = this.context;
    if ((job.failing?.until ?? 0) > clock.wallClock()) return true;
    return (this.failures.failuresOf(job.spec.id)?.until ?? 0) > clock.now();
  }

  /** Whether the machine gets no new tasks, since tasks fail on it or run much slower than on other machines. */
  isQuarantined(machine: MachineRecord): boolean {
    return this.slowMachines.isSlow(machine.name) || this.failures.isFaulty(machine.name);
  }

  private applyViewChanges({ machines, jobs }: ViewChanges): void {
    const { view } = this.context;
    for (const id of jobs) {
      const job = view.jobs.get(id);
      if (job === undefined) this.failures.forgetJob(id);
      else this.failures.observeRecordedRounds(id, job.failing?.rounds ?? 0);
    }
    for (const name of machines) {
      if (view.machines.has(name)) continue;
      this.slowMachines.forgetMachine(name);
      this.taskRuns.forgetMachine(name);
      this.failures.forgetMachine(name);
      this.latestHeartbeats.forgetMachine(name);
      this.images.forgetMachine(name);
    }
  }

  private keepIfNewest(heartbeat: Heartbeat): boolean {
    return this.latestHeartbeats.record(heartbeat, this.sizeLimit(MIN_HEARTBEATS_KEPT));
  }

  private sizeLimit(minimum: number): number {
    return Math.max(minimum, 2 * this.context.view.machines.size);
  }

  private recordRunning(job: JobId, runMs: number): void {
    const { clock, view } = this.context;
    const failing = view.jobs.get(job)?.failing;
    if (failing !== undefined && failing.until > clock.wallClock()) return;
    this.failures.recordRunning({ job, runMs, now: clock.now(), isRecordedAsFailing: failing !== undefined });
  }

  private recordRun(machine: MachineName, run: TaskRun): void {
    const { events } = this.context;
    this.slowMachines.recordRun(machine, run);
    if (events.isActive) events.emit({ kind: 'task_ran', machine, run });
  }

  private avoid(job: JobId, machine: MachineName, forMs: number): void {
    this.avoidedMachines.avoid(job, machine, forMs, this.sizeLimit(MIN_AVOIDED_KEPT));
  }

  private recordFailure(record: JobRecord, machine: MachineName, why: 'error' | 'unknown'): void {
    const { clock, events } = this.context;
    const job = record.spec.id;
    const knownRounds = record.failing?.rounds;
    this.failures.recordFailure({ job, machine, why, now: clock.now(), knownRounds });
    const failures = this.failures.failuresOf(job);
    if (events.isActive && failures !== null) events.emit({ kind: 'job_failing', job, failures });
  }

  /** Records the agent's address, epoch and sequence: direct commands can then reach it before its first heartbeat. */
  private applyAgentHint({ machine: name, address, agentEpoch, sequence, token }: AgentHint): void {
    const { view } = this.context;
    const machine = view.machines.get(name);
    if (machine === undefined || !view.typesByName.has(machine.type)) return;
    const { type, zone, spot } = machine;
    this.keepIfNewest({
      machine: name,
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
  }

  private applyJobFailingHint({ job, rounds, why, machines, retryInMs }: JobFailingHint): void {
    const { clock, view } = this.context;
    if (!view.jobs.has(job)) return;
    const until = monotonicMs(clock.now() + retryInMs);
    this.failures.mergeFailures(job, { rounds, why, machines: new Set(machines), until });
  }
}
