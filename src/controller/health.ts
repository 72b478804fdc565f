/** What reports teach about machines and jobs, kept in memory only: losing it costs time, never a rule. */
import type { ExitWhy, JobId, MachineName, MachineRecord, Placed, Report, Steady } from '../core/types.js';
import { bytesOf } from '../core/records.js';
import { Slowness } from '../core/slowness.js';
import { taskKey } from '../core/worker-reports.js';
import type { Context } from './context.js';

interface JobTrouble {
  readonly machines: Set<MachineName>;
  failures: number;
  until: Steady | 0;
}

interface MachineTrouble {
  /** Jobs that failed here since the last success. */
  readonly jobs: Set<JobId>;
  failures: number;
  since: Steady;
}

const REPORTS_KEPT = 4000;

/** Remembers failures, caches and run times of machines and jobs. */
export class Health {
  private readonly jobs = new Map<JobId, JobTrouble>();
  private readonly machines = new Map<MachineName, MachineTrouble>();
  private readonly pauses = new Map<string, Steady>();
  /** Images that machines were seen to have, the latest used last. */
  private readonly images = new Map<MachineName, Set<string>>();
  private readonly imageGb = new Map<string, number>();
  private readonly succeeded = new Set<JobId>();
  private readonly reports = new Map<MachineName, Report>();

  private readonly slowness: Slowness;
  /** Since when tasks have been seen running, by machine and task. */
  private readonly runningAt = new Map<MachineName, Map<string, Steady>>();

  constructor(private readonly ctx: Context) {
    const { slow_factor, slow_runs } = ctx.operator.fleet;
    this.slowness = new Slowness({ factor: slow_factor, runs: slow_runs, samples: 12 });
    ctx.listeners.push(({ machines }) => {
      for (const name of machines) {
        if (ctx.view.machines.has(name)) continue;
        this.slowness.gone(name);
        this.runningAt.delete(name);
        this.machines.delete(name);
        this.images.delete(name);
      }
    });
  }

  private sawRunning(r: Report): void {
    const t = this.ctx.clock.now();
    const before = this.runningAt.get(r.machine);
    const now = new Map<string, Steady>();
    for (const task of r.tasks) {
      const k = taskKey(task.job, task.index, task.attempt);
      if (task.state === 'running') now.set(k, before?.get(k) ?? t);
      const since = before?.get(k);
      const spec = this.ctx.view.jobs.get(task.job)?.spec;
      // A gang runs only as fast as its slowest machine, so its time says nothing about this one.
      if (task.why === 'done' && since !== undefined && spec?.kind === 'array')
        this.slowness.ran(r.machine, {
          job: task.job,
          cls: spec.class,
          tookS: (t - since) / 1000,
          estimateS: spec.estimateS,
        });
    }
    this.runningAt.set(r.machine, now);
  }

  /** The newest report that any process of this node got, for the worker's address and session. */
  saw(r: Report): void {
    const known = this.reports.get(r.machine);
    if (
      known !== undefined &&
      (known.session > r.session || (known.session === r.session && known.seq > r.seq))
    )
      return;
    this.reports.delete(r.machine);
    this.reports.set(r.machine, r);
    if (this.reports.size > REPORTS_KEPT) {
      const oldest = this.reports.keys().next().value;
      if (oldest !== undefined) this.reports.delete(oldest);
    }
    this.sawRunning(r);
    for (const t of r.tasks) {
      if (t.state === 'fetching' || (t.state === 'exited' && t.why !== 'done')) continue;
      const spec = this.ctx.view.jobs.get(t.job)?.spec;
      if (spec === undefined) continue;
      let set = this.images.get(r.machine);
      if (set === undefined) this.images.set(r.machine, (set = new Set()));
      set.delete(spec.image);
      set.add(spec.image);
      if (this.imageGb.size > REPORTS_KEPT) this.imageGb.clear();
      this.imageGb.set(spec.image, spec.imageGb);
      if (t.state === 'running' || t.why === 'done') this.succeeded.add(t.job);
    }
  }

  lastReport(m: MachineName): Report | null {
    return this.reports.get(m) ?? null;
  }

  cached(m: MachineRecord, image: string): boolean {
    return this.images.get(m.name)?.has(image) === true || m.images?.includes(image) === true;
  }

  /**
   * What the machine has cached as far as is known, the latest used last and no more than its cache holds. It goes into
   * the machine's record with the next change: whoever gets the machine would else know nothing, and fetch anew.
   */
  imagesOf(m: MachineRecord): string[] {
    const set = new Set(m.images);
    for (const image of this.images.get(m.name) ?? []) {
      set.delete(image);
      set.add(image);
    }
    const out: string[] = [];
    let gb = this.ctx.types.get(m.type)?.cacheGb ?? 0;
    let room = this.ctx.imagesBytes - 12;
    for (const image of [...set].reverse()) {
      gb -= this.imageGb.get(image) ?? 0;
      room -= bytesOf(image) + 1;
      if (gb < 0 || room < 0) break;
      out.push(image);
    }
    return out.reverse();
  }

  /** A task left a machine; some reasons say something about one or the other. */
  exit(m: MachineRecord, placed: Placed, why: ExitWhy | null): void {
    const t = this.ctx.clock.now();
    if (why === 'done') {
      this.machines.delete(m.name);
      this.jobs.delete(placed.job);
      return;
    }
    if (why === 'full' || why === 'in_use') this.pause(placed.job, m.name, 3000);
    if (why === 'unknown') this.jobTrouble(placed.job, m.name, t);
    if (why !== 'error') return;
    this.pause(placed.job, m.name, 60_000);
    this.jobTrouble(placed.job, m.name, t);
    let trouble = this.machines.get(m.name);
    if (trouble === undefined)
      this.machines.set(m.name, (trouble = { jobs: new Set(), failures: 0, since: t }));
    trouble.failures++;
    trouble.jobs.add(placed.job);
  }

  private jobTrouble(job: JobId, machine: MachineName, t: Steady): void {
    let trouble = this.jobs.get(job);
    if (trouble === undefined) this.jobs.set(job, (trouble = { machines: new Set(), failures: 0, until: 0 }));
    trouble.machines.add(machine);
    trouble.failures++;
    // One failure is most likely the machine's; several machines in a row say that it is the job.
    const several = trouble.machines.size;
    trouble.until = (t + (several <= 1 ? 0 : Math.min(60_000, 2500 * 2 ** (several - 1)))) as Steady;
    if (this.jobs.size > 5000) this.jobs.clear();
  }

  private pause(job: JobId, machine: MachineName, ms: number): void {
    if (this.pauses.size > 5000) this.pauses.clear();
    this.pauses.set(`${job} ${machine}`, (this.ctx.clock.now() + ms) as Steady);
  }

  avoids(job: JobId, machine: MachineName): boolean {
    const until = this.pauses.get(`${job} ${machine}`);
    return until !== undefined && until > this.ctx.clock.now();
  }

  backedOff(job: JobId): boolean {
    return (this.jobs.get(job)?.until ?? 0) > this.ctx.clock.now();
  }

  /**
   * A machine that fails what it starts. One failed job is not enough when that job fails elsewhere too: a
   * job submitted with a mistake must not cost the fleet its machines.
   */
  sick(m: MachineRecord): boolean {
    if (this.slowness.slow(m.name)) return true;
    const trouble = this.machines.get(m.name);
    if (trouble === undefined) return false;
    let guilty = 0;
    for (const job of trouble.jobs) {
      const elsewhere = (this.jobs.get(job)?.machines.size ?? 1) > 1 && !this.succeeded.has(job);
      if (!elsewhere) guilty++;
    }
    return guilty >= 2 || (guilty >= 1 && trouble.failures >= 2);
  }
}
