// What a controller does for its own machines and teams: answers reports, turns what they prove into commits,
// places waiting tasks. All changes to machine records leave through one loop, one transaction at a time.
import { isDone, markDone } from '../core/jobs.js';
import { pickVictims, stopped, withinGuarantee } from '../core/preemption.js';
import {
  BUSY_FETCHING,
  placedOf,
  schedule,
  withPlaced,
  type Passed,
  type Placement,
} from '../core/placement.js';
import {
  commands,
  exits,
  newMemory,
  takeReport,
  taskKey,
  without,
  type Exit,
  type MachineMemory,
} from '../core/takeover.js';
import {
  NO_VERSION,
  attempt,
  type Command,
  type FinalRecord,
  type JobId,
  type JobRecord,
  type MachineName,
  type MachineRecord,
  type NodeName,
  type Placed,
  type Report,
  type Steady,
  type TaskIndex,
  type TeamName,
  type Token,
} from '../core/types.js';
import { storedJob, type StoredJob } from '../core/records.js';
import { key } from '../core/view.js';
import { URGENT, type Urgency } from '../io/pacer.js';
import { commitAll, type Group } from '../io/state.js';
import type { Guard, Op } from '../io/wire.js';
import type { Workers } from '../io/workers.js';
import { Bell, type Context } from './context.js';
import type { Health } from './health.js';

export type ReportAnswer =
  | { readonly kind: 'ok'; readonly token: Token; readonly commands: readonly Command[] }
  | { readonly kind: 'elsewhere'; readonly node: NodeName | null }
  | { readonly kind: 'busy' };

const GANG_MEMORY_MS = 600_000;
const SWEEP_MS = 500;
/** How long entries of tasks that are done may stay in a record, with and without budget to spare. */
const SPARE_STAY_MS = 1500;
const MOST_STAY_MS = 10_000;
const EMPTY_STAY_MS = 3000;
/** So many jobs are withdrawn in one pass after one that they need: the rest of the work must not wait for hundreds. */
const MOST_WITHDRAWN = 16;
/** That so many others of a zone are silent, too, is no chance. */
const FEW_OTHERS = 3;
/** Results of one job are gathered for so long at least where the budget is short. */
const RESULTS_MS = 2500;
/** The part of this process's write budget that results of unfinished jobs may take. */
const RESULTS_PART = 0.15;

/** So long a job waits before the reason is logged, and from then to the next time. */
const SAY_WHY_MS = 30_000;
/** Bounds of the starts planned in one pass; between them as many as can be committed in about the time below. */
const LEAST_PLANNED = 16;
const MOST_PLANNED = 64;
/** How long one pass should spend on committing starts, and may on what only tidies up. */
const PASS_MS = 2500;
const TIDY_MS = 1000;
export class Owner {
  readonly memory = new Map<MachineName, MachineMemory>();
  /** Why waiting jobs of this controller's teams were passed over last time. */
  passed: ReadonlyMap<JobId, Passed> = new Map();
  private readonly reportMs: number;
  private readonly bell: Bell;
  private sequence = 0;
  /** Machines of which something was heard or written since they were last looked at. */
  private readonly dirty = new Set<MachineName>();
  /** When all machines are looked at again, for what only time brings about. */
  private sweepAt = Number.NEGATIVE_INFINITY;
  /** Something that placing depends on has changed. */
  private placeDue = true;
  private placeNotBefore = Number.NEGATIVE_INFINITY;
  private readonly fencing = new Map<MachineName, Steady>();

  constructor(
    private readonly ctx: Context,
    private readonly workers: Workers,
    private readonly health: Health,
  ) {
    this.reportMs = ctx.settings.workers.report_s * 1000;
    this.bell = new Bell(ctx.clock);
    ctx.listeners.push((keys) => {
      for (const k of keys) this.noteChange(k);
    });
  }

  private noteChange(k: string): void {
    const { view } = this.ctx;
    if (k.startsWith('p/m/')) {
      const name = k.slice(4) as MachineName;
      const m = view.machines.get(name);
      if (m !== undefined && !this.ctx.isMine(m)) return;
      this.dirty.add(name);
      this.placeDue = true;
    } else if (k.startsWith('p/j/')) {
      const id = k.slice(4) as JobId;
      const job = view.jobs.get(id);
      if (job?.phase !== 'active')
        for (const at of this.ctx.ledger().jobs.get(id)?.tasks.values() ?? []) this.dirty.add(at.machine);
      else if (this.ctx.ownsTeam(job.spec.team)) this.placeDue = true;
      else return;
    } else if (k.startsWith('p/o/') || k.startsWith('p/t/') || k === key.types) {
      this.sweepAt = Number.NEGATIVE_INFINITY;
      this.placeDue = true;
    } else if (!k.startsWith('p/c/')) return;
    this.bell.ring();
  }

  memoryOf(m: MachineRecord): MachineMemory {
    const token = this.ctx.view.tokenOf(m);
    let mem = this.memory.get(m.name);
    if (mem?.token !== token) {
      mem = newMemory(token, this.ctx.clock.now());
      this.memory.set(m.name, mem);
    }
    return mem;
  }

  /** Takes in a report of one of this controller's machines and says what the worker is to do. */
  report(m: MachineRecord, report: Report): ReportAnswer {
    const { ctx } = this;
    const mem = this.memoryOf(m);
    const { token } = mem;
    const first = mem.report === null;
    if (report.token > token) return { kind: 'elsewhere', node: null };
    // Overtaken by the answer to a direct command, or late: the worker is kept, and told nothing.
    if (!takeReport(mem, report, this.ctx.clock.now(), true, this.reportMs))
      return { kind: 'ok', token, commands: [] };
    const w = { jobs: ctx.view.jobs, ledger: ctx.ledger() };
    if (first || m.phase === 'booting' || report.noticeS !== null || exits(m, mem, w).length > 0) {
      this.dirty.add(m.name);
      this.placeDue ||= first;
      this.bell.ring();
    }
    const out = commands(m, mem, w, this.ctx.clock.now(), m.phase !== 'releasing');
    for (const c of out)
      ctx.log.debug(
        { op: c.op, task: ctx.task(c.job, c.index), attempt: c.attempt, machine: m.name, token },
        'command',
      );
    return { kind: 'ok', token, commands: out };
  }

  async run(): Promise<never> {
    for (;;) {
      await this.bell.wait(200);
      if (!this.ctx.follower.ready || this.ctx.view.types === null) continue;
      const work = this.takeWork();
      try {
        this.reach(work);
        const { now, later } = this.settle(work);
        // Starts go before what only tidies up: under a short budget they would wait for seconds behind it.
        let ok = await this.commitGroups(now, URGENT.results);
        ok = (await this.placeIfDue()) && ok;
        ok = (await this.commitGroups(later, URGENT.starts, TIDY_MS)) && ok;
        if (!ok) for (const name of work) this.dirty.add(name);
        if (!ok) await this.ctx.clock.sleep(100);
        else await this.ctx.clock.sleep(20);
      } catch (e) {
        this.ctx.log.error({ err: e }, 'owner loop');
        await this.ctx.clock.sleep(300);
      }
    }
  }

  /** The machines to look at now. */
  private takeWork(): MachineName[] {
    const { ctx } = this;
    const t = ctx.clock.now();
    if (t >= this.sweepAt) {
      this.sweepAt = t + SWEEP_MS;
      this.placeDue = true;
      for (const m of ctx.myMachines()) this.dirty.add(m.name);
      for (const name of this.memory.keys()) this.dirty.add(name);
    }
    const work = [...this.dirty];
    this.dirty.clear();
    return work;
  }

  private async placeIfDue(): Promise<boolean> {
    const { clock } = this.ctx;
    const start = clock.now();
    if (!this.placeDue || start < this.placeNotBefore) return true;
    this.placeDue = false;
    const plan = this.plan();
    // A pass may take its time, but never so much that reports and renewals wait for one after the other.
    const end = clock.now();
    this.placeNotBefore = end + (end - start) * 3;
    const ok = await this.carryOut(plan);
    if (!ok) this.placeDue = true;
    return ok;
  }

  /** False: not all were committed, and what is left has to be worked out anew. */
  private commitGroups(groups: readonly Group[], urgency: Urgency, forMs?: number): Promise<boolean> {
    const { ctx } = this;
    return commitAll(ctx.state, ctx.follower, groups, urgency, forMs);
  }

  /** Results, proofs of absence, cancellations and machines that came up; what can wait for starts stands apart. */
  private settle(work: readonly MachineName[]): { now: Group[]; later: Group[] } {
    const { ctx } = this;
    const { view } = ctx;
    const w = { jobs: view.jobs, ledger: ctx.ledger() };
    const t = ctx.clock.now();
    const { spare } = ctx.state;
    const done = new Map<JobId, Set<TaskIndex>>();
    const now: Group[] = [];
    const later: Group[] = [];
    for (const name of work) {
      const m = view.machines.get(name);
      if (m === undefined || !ctx.isMine(m)) {
        this.memory.delete(name);
        this.proven.delete(name);
        continue;
      }
      const mem = this.memoryOf(m);
      const all: Exit[] = exits(m, mem, w);
      const results = all.filter((e) => this.mayStay(e));
      if (results.length > 0) this.proven.set(name, { token: mem.token, exits: results });
      else this.proven.delete(name);
      for (const e of all) {
        if (e.why === 'done' && !this.durable(e)) {
          const set = done.get(e.placed.job) ?? new Set<TaskIndex>();
          if (e.placed.kind === 'gang') {
            const n = view.jobs.get(e.placed.job)?.spec.tasks ?? 0;
            // The tasks of a gang complete together: one that is done says that all are.
            for (let i = 0; i < n; i++) set.add(i);
          } else set.add(e.index);
          done.set(e.placed.job, set);
        }
        const k = taskKey(e.placed.job, e.index, e.placed.attempt);
        if (mem.left.has(k)) continue;
        mem.left.set(k, { at: t, why: e.why });
        this.placeDue = true;
        this.health.exit(m, e.placed, e.why);
        ctx.log.info(
          {
            task: ctx.task(e.placed.job, e.index),
            attempt: e.placed.attempt,
            machine: m.name,
            token: mem.token,
            why: e.why ?? 'absent',
          },
          'task left its machine',
        );
      }
      const noticed = mem.report?.noticeS != null;
      const drain = m.drain === true || noticed || this.health.sick(m);
      const silent = this.silent(m, mem);
      const up = m.phase === 'booting' && mem.report !== null;
      const phase = silent ? 'releasing' : up ? 'up' : m.phase;
      // What need not be written by itself goes along with the machine's next start, or is written a little later.
      const waited = (e: Exit) => t - mem.left.get(taskKey(e.placed.job, e.index, e.placed.attempt))!.at;
      const gone = all.filter((e) => !this.mayStay(e) || this.durable(e));
      let placed = without(m.placed, gone);
      // An empty machine can serve other slices, or be returned: that is worth a change sooner.
      const stayMs = spare ? SPARE_STAY_MS : placed.length === 0 ? EMPTY_STAY_MS : MOST_STAY_MS;
      const hears = mem.report?.token === mem.token;
      const unsaid = (hears && m.placed.length === 0 && (m.heard ?? 0) < mem.token) || up;
      const tidy =
        gone.some((e) => waited(e) > stayMs) ||
        (unsaid && t - mem.firstAt! > (spare ? SWEEP_MS : EMPTY_STAY_MS));
      const needed = silent || gone.some((e) => !this.mayStay(e) || drain);
      let stops = false;
      // What can save, or is wanted all the time, goes elsewhere before the cloud takes the machine.
      if (noticed)
        placed = placed.map((p) => {
          if (p.stop === true || !this.leavesOnNotice(p)) return p;
          stops = true;
          return { ...p, stop: true };
        });
      const urgent = needed || stops || drain !== (m.drain === true);
      if (!urgent && !tidy) continue;
      if (silent)
        ctx.log.info(
          { machine: m.name, token: mem.token, heardMs: ctx.clock.now() - mem.heardAt },
          'silent: given up',
        );
      const value: MachineRecord = {
        ...m,
        phase,
        placed,
        ...this.learned(m, mem),
        ...(drain ? { drain } : {}),
      };
      (urgent ? now : later).push({
        ops: [{ key: key.machine(m.name), value }],
        // The slice is guarded too: whoever has lost it must not write its machines any more.
        guards: [ctx.guard(key.machine(m.name)), ctx.guard(key.slice(m.owner))],
      });
    }
    const resultsMs = this.resultsEvery(done.size, spare);
    for (const [id, indexes] of done) {
      const job = view.jobs.get(id);
      if (job === undefined) continue;
      const set = markDone(job.done, indexes);
      // First of all: other jobs may wait for it.
      if (set.count >= job.spec.tasks) now.unshift(this.finish(job, { state: 'done', done: set.count }));
      else if (t - (this.resultsAt.get(id) ?? Number.NEGATIVE_INFINITY) < resultsMs) continue;
      else {
        this.resultsAt.set(id, t);
        later.push({
          ops: [{ key: key.job(id), value: this.stored({ ...job, done: set }) }],
          guards: [ctx.guard(key.job(id))],
        });
      }
    }
    for (const id of this.resultsAt.keys()) if (!view.jobs.has(id)) this.resultsAt.delete(id);
    for (const id of view.cancels) {
      const job = view.jobs.get(id);
      if (job !== undefined && !ctx.ownsTeam(job.spec.team)) continue;
      if (job === undefined && view.leader?.incarnation !== ctx.incarnation) continue;
      if (job?.phase === 'active' && !done.has(id)) now.push(this.cancelling(job));
      else if (job === undefined)
        now.push({
          ops: [{ key: key.cancel(id), value: undefined }],
          guards: [ctx.guard(key.cancel(id))],
        });
    }
    for (const id of this.cancelAsked) {
      const job = view.jobs.get(id);
      if (job?.phase === 'active' && ctx.ownsTeam(job.spec.team) && !view.cancels.has(id) && !done.has(id))
        now.push(this.cancelling(job));
      else if (!done.has(id)) this.cancelAsked.delete(id);
    }
    let withdrawn = 0;
    for (const [id, d] of ctx.needs.all().of) {
      if (d.kind !== 'withdrawn') continue;
      const job = view.jobs.get(id);
      // It never started, so that there is nothing but its record. Its users are told already (`Jobs.find`).
      if (job === undefined || !ctx.ownsTeam(job.spec.team) || w.ledger.jobs.has(id)) continue;
      if (withdrawn++ >= MOST_WITHDRAWN) break;
      now.push(this.finish(job, { state: 'cancelled', done: 0 }));
    }
    for (const job of view.jobs.values()) {
      if (job.phase !== 'cancelling' || done.has(job.spec.id) || !ctx.ownsTeam(job.spec.team)) continue;
      if (ctx.needs.all().of.get(job.spec.id)?.kind === 'withdrawn') continue;
      // Said only once nothing of the job is on any machine: then there is nothing left that could run on.
      if (w.ledger.jobs.has(job.spec.id)) continue;
      now.push(this.finish(job, { state: 'cancelled', done: job.done.count }));
    }
    return { now, later };
  }

  /**
   * How often a job's results are written: all jobs' together may take a part of what this process may write. Nothing is
   * lost with them but time: a task whose result is not written is still on its machine's record and in its reports.
   */
  private resultsEvery(jobs: number, spare: boolean): number {
    const { writeRps, nodes } = this.ctx.state.settings;
    const each = (jobs * 1000) / ((writeRps / nodes) * (spare ? 2 * RESULTS_PART : RESULTS_PART));
    return Math.min(MOST_STAY_MS, Math.max(spare ? SWEEP_MS : RESULTS_MS, each));
  }

  /**
   * Tasks that are done and whose entries are still in their machine's record. Their room can be used again at
   * once: the record only says too much. After a crash the next owner sees them exited in the next report.
   */
  private readonly proven = new Map<MachineName, { token: Token; exits: readonly Exit[] }>();
  /** When results of a job were last written: they are gathered, since changes are what the state service sells. */
  private readonly resultsAt = new Map<JobId, Steady>();

  private provenOf(m: MachineRecord): Exit[] {
    const known = this.proven.get(m.name);
    if (known?.token !== this.ctx.view.tokenOf(m)) return [];
    return known.exits.filter((e) =>
      m.placed.some(
        (p) => p.job === e.placed.job && p.attempt === e.placed.attempt && p.tasks.includes(e.index),
      ),
    );
  }

  /** The entry of a task that is done harms nobody, except where its job's cancellation waits for it. */
  private mayStay(e: Exit): boolean {
    return e.why === 'done' && this.ctx.view.jobs.get(e.placed.job)?.phase !== 'cancelling';
  }

  /** The task's result is in the state service: only then may its machine forget it. */
  private durable(e: Exit): boolean {
    const job = this.ctx.view.jobs.get(e.placed.job);
    return job === undefined || isDone(job.done, e.index);
  }

  private leavesOnNotice(p: Placed): boolean {
    const job = this.ctx.view.jobs.get(p.job);
    return job !== undefined && (job.spec.kind === 'service' || job.spec.checkpointS > 0);
  }

  /**
   * Not heard for so long that a worker with nothing but its owner out of reach would have turned to another
   * controller by now, and none has written that it did. Silence proves nothing: what follows from it is that
   * the machine is returned, and only the cloud's answer to that frees its tasks.
   */
  private silent(m: MachineRecord, mem: MachineMemory): boolean {
    const { ctx } = this;
    if (m.phase === 'releasing' || ctx.substituteOf(m) !== null || !ctx.state.reachable(1000)) return false;
    if (m.phase === 'booting' && mem.report === null) return false;
    const { reportMs } = this;
    const hop = 5000;
    const t = ctx.clock.now();
    const quiet = t - mem.heardAt;
    // A worker that has not reported to this owner yet may have to try every other controller first.
    const hops = mem.postedAt === null ? ctx.settings.nodes : 1;
    const single = 1.25 * reportMs + hops * hop + 1500;
    if (quiet < single) return false;
    // Where its whole zone is silent, or it is alone there, the network is the more likely cause: then
    // time is given to try every controller, one after the other, and to be written down by one of them. Only those
    // count that were heard all along: when a cut ends, the first that is back says nothing about the others.
    let others = 0;
    for (const o of ctx.myMachines()) {
      if (o.name === m.name || o.zone !== m.zone || o.phase === 'booting') continue;
      others++;
      const { heardAt, steadySince } = this.memoryOf(o);
      if (steadySince !== null && t - steadySince > single && t - heardAt < reportMs * 2) return true;
    }
    // And another lease: until then its machines may be back at once, while new ones must boot and fetch. Where several
    // are silent together it is hardly they that failed, and what would replace them needs a boot: so much longer they
    // are waited for. Those that did fail are listed as failed by the cloud, and returned for that.
    const bootS = others >= FEW_OTHERS ? (ctx.types.get(m.type)?.bootS ?? 0) : 0;
    const patienceS = ctx.settings.workers.lease_s + bootS;
    return quiet > 1.25 * reportMs + ctx.settings.nodes * hop + 3000 + patienceS * 1000;
  }

  private readonly cancelAsked = new Set<JobId>();

  /** A user asked this controller to cancel a job of its own team. */
  askCancel(id: JobId): void {
    this.cancelAsked.add(id);
    this.bell.ring();
  }

  /** They fail once this process no longer owns the team. */
  private teamGuards(team: TeamName): Guard[] {
    const { ctx } = this;
    return [ctx.guard(key.team(team)), ctx.guard(key.slice(ctx.view.teams.get(team)!.owner))];
  }

  private stored(job: JobRecord): StoredJob {
    return storedJob(job, this.ctx.state.settings.valueBytes) ?? job;
  }

  private cancelling(job: JobRecord): Group {
    const { ctx } = this;
    const { id, team } = job.spec;
    ctx.log.info({ job: id }, 'cancelling');
    return {
      ops: [{ key: key.job(id), value: this.stored({ ...job, phase: 'cancelling' }) }],
      guards: [ctx.guard(key.job(id)), ...this.teamGuards(team)],
    };
  }

  private finish(job: JobRecord, final: FinalRecord): Group {
    const { ctx } = this;
    const { id, team } = job.spec;
    ctx.log.info({ job: id, state: final.state, done: final.done }, 'job is over');
    const ops: Op[] = [
      { key: key.job(id), value: undefined },
      { key: key.final(id), value: { ...final, at: ctx.clock.wall() } satisfies FinalRecord },
    ];
    const guards: Guard[] = [ctx.guard(key.job(id)), { key: key.final(id), version: NO_VERSION }];
    if (final.state === 'cancelled') guards.push(...this.teamGuards(team));
    // Where a transaction takes fewer changes, the leader removes what is left of the request.
    if (ctx.view.cancels.has(id) && ops.length < ctx.state.settings.txnOps) {
      ops.push({ key: key.cancel(id), value: undefined });
      guards.push(ctx.guard(key.cancel(id)));
    }
    return { ops, guards };
  }

  /** Machines that may be given work now. */
  private slice(): MachineRecord[] {
    return this.ctx.myMachines().filter((m) => {
      const mem = this.memory.get(m.name);
      if (m.phase === 'releasing' || m.drain === true || mem?.report == null) return false;
      const silent = this.ctx.clock.now() - mem.heardAt;
      return silent < this.reportMs * 2 && !this.health.sick(m);
    });
  }

  /** Gangs have been seen of late, in whatever team. */
  private gangsAbout(): boolean {
    const t = this.ctx.clock.now();
    for (const j of this.ctx.view.jobs.values())
      if (j.spec.kind === 'gang') {
        this.gangAt = t;
        break;
      }
    return t - this.gangAt < GANG_MEMORY_MS;
  }
  private gangAt = Number.NEGATIVE_INFINITY;

  /** 0: the machine has the image; 1: it fetches it already; 2: it fetches nothing; 3: it fetches others. */
  private fetchRank(m: MachineRecord, image: string): number {
    if (this.health.cached(m, image)) return 0;
    let rank = 2;
    for (const p of m.placed) {
      const other = this.ctx.view.jobs.get(p.job)?.spec.image;
      if (other === image) return 1;
      if (other !== undefined && !this.health.cached(m, other)) rank = BUSY_FETCHING;
    }
    return rank;
  }

  private plan(): readonly Placement[] {
    const { ctx } = this;
    const { view } = ctx;
    const mine = ctx.needs.all().startable.filter((j) => ctx.ownsTeam(j.spec.team));
    const room = (name: MachineName) => ctx.recordRoom(view.machines.get(name)!);
    const ledger = ctx.ledger();
    const vacant: [MachineRecord, Placed][] = [];
    for (const name of this.proven.keys()) {
      const m = view.machines.get(name);
      for (const e of m === undefined ? [] : this.provenOf(m))
        vacant.push([m!, { ...e.placed, tasks: [e.index] }]);
    }
    for (const [m, p] of vacant) ledger.vacate(m, p, false);
    const { placements, passed } = schedule({
      jobs: mine.filter((j) => !this.health.backedOff(j.spec.id)),
      slice: this.slice(),
      ledger,
      // A number for each start; the revision at which the team's slice got its holder is put before it below,
      // so that no attempt is ever used twice.
      newAttempt: () => attempt(++this.sequence),
      fetchRank: (m, image) => this.fetchRank(m, image),
      avoid: (job, m) => this.health.avoids(job, m) || this.claimedByOther(job, m),
      recordRoom: room,
      most: Math.max(LEAST_PLANNED, Math.min(MOST_PLANNED, ctx.state.writesWithin(PASS_MS) * 2)),
      keepWhole: this.gangsAbout(),
      yields: ctx.yielding(),
      mayHold: (j) => ctx.mayHold(j),
      overdue: (j) => ctx.clock.wall() - j.submitted > ctx.operator.placement.behind_s * 1000,
      hSlack: ctx.operator.placement.h_slack,
    });
    for (const [m, p] of vacant) ledger.vacate(m, p, true);
    this.passed = passed;
    this.sayWhy(mine);
    for (const p of placements) this.claims.delete(p.machine.name);
    return placements;
  }

  private readonly saidAt = new Map<JobId, number>();

  /** Why a job waits is asked for afterwards, too: it is logged now and then of those that wait for long. */
  private sayWhy(mine: readonly JobRecord[]): void {
    const wall = this.ctx.clock.wall();
    for (const id of this.saidAt.keys()) if (!this.passed.has(id)) this.saidAt.delete(id);
    for (const { spec, submitted } of mine) {
      const why = this.passed.get(spec.id);
      if (why === undefined || wall - Math.max(submitted, this.saidAt.get(spec.id) ?? 0) < SAY_WHY_MS)
        continue;
      this.saidAt.set(spec.id, wall);
      const waitsS = Math.round((wall - submitted) / 1000);
      this.ctx.log.info({ job: spec.id, team: spec.team, priority: spec.priority, waitsS, why }, 'waits');
    }
  }

  private async carryOut(placements: readonly Placement[]): Promise<boolean> {
    const { ctx } = this;
    const { view } = ctx;
    const epochOf = (team: TeamName) => view.versionOf(key.slice(view.teams.get(team)!.owner));
    if (placements.length === 0) return this.preempt();
    const byMachine = new Map<MachineName, Placement[]>();
    for (const p of placements) {
      const list = byMachine.get(p.machine.name);
      if (list === undefined) byMachine.set(p.machine.name, [p]);
      else list.push(p);
    }
    const groups: Group[] = [];
    const gangs: Group[] = [];
    for (const [name, list] of byMachine) {
      const m = view.machines.get(name)!;
      const gone = this.provenOf(m).filter((e) => this.durable(e));
      let placed: readonly Placed[] = without(m.placed, gone);
      const guards = [ctx.guard(key.machine(name)), ctx.guard(key.slice(m.owner))];
      for (const p of list) {
        const full = attempt(epochOf(p.job.team) * 2 ** 22 + (p.attempt % 2 ** 22));
        placed = withPlaced(placed, placedOf(p.job, full, [p.index]));
        guards.push(...this.teamGuards(p.job.team), ctx.guard(key.job(p.job.id)));
        ctx.log.info(
          {
            task: ctx.task(p.job.id, p.index),
            team: p.job.team,
            attempt: full,
            machine: name,
            token: view.tokenOf(p.machine),
            share: Number(p.share.toPrecision(5)),
            h: Number(p.h.toPrecision(5)),
            fetch: p.fetch,
          },
          'place',
        );
      }
      const mem = this.memoryOf(m);
      const value: MachineRecord = {
        ...m,
        phase: 'up',
        placed,
        ...this.learned(m, mem),
      };
      // Of a gang all tasks are committed, however long that takes: a part of it would only have to go again.
      const whole = list.some((p) => p.job.kind === 'gang');
      (whole ? gangs : groups).push({ ops: [{ key: key.machine(name), value }], guards });
    }
    const ok = await this.commitGroups(gangs, URGENT.starts);
    return (await this.commitGroups(groups, URGENT.starts)) && ok;
  }

  /** What its reports taught of the machine; written along with whatever is written of it. */
  private learned(m: MachineRecord, mem: MachineMemory): Partial<MachineRecord> {
    const address = mem.report?.address ?? m.address;
    const images = this.health.imagesOf(m);
    return {
      ...(address === undefined ? {} : { address }),
      ...(images.length === 0 ? {} : { images }),
      ...(mem.report?.token === mem.token ? { heard: mem.token } : {}),
    };
  }

  private claimedByOther(job: JobId, machine: MachineName): boolean {
    const c = this.claims.get(machine);
    return c !== undefined && c.job !== job && c.until > this.ctx.clock.now();
  }

  /** Room made by stopping something is kept for the job that it was made for. */
  private readonly claims = new Map<MachineName, { job: JobId; until: number }>();
  private readonly waitingSince = new Map<JobId, Steady>();

  /**
   * Makes room for jobs that have found none for a while: services that are wanted all the time, and jobs within
   * their team's guarantee. At most one machine a pass, so that the next pass sees what came of it.
   */
  private async preempt(): Promise<boolean> {
    const { ctx } = this;
    const { view } = ctx;
    const t = ctx.clock.now();
    for (const id of [...this.waitingSince.keys()]) if (!this.passed.has(id)) this.waitingSince.delete(id);
    for (const [m, c] of this.claims) if (c.until <= t) this.claims.delete(m);
    const claimed = new Map<JobId, number>();
    for (const c of this.claims.values()) claimed.set(c.job, (claimed.get(c.job) ?? 0) + 1);
    const ledger = ctx.ledger();
    const startable = new Map(ctx.needs.all().startable.map((j) => [j.spec.id, j]));
    for (const [id, why] of this.passed) {
      if (why !== 'no_room') continue;
      const since = this.waitingSince.get(id);
      if (since === undefined) {
        this.waitingSince.set(id, t);
        continue;
      }
      const job = startable.get(id);
      if (job === undefined || t - since < ctx.operator.placement.patience_s * 1000) continue;
      const { spec } = job;
      const waiting = spec.tasks - job.done.count - (ledger.jobs.get(id)?.tasks.size ?? 0);
      if (spec.kind === 'gang' && spec.tasks > 1) continue;
      if ((claimed.get(id) ?? 0) >= waiting) continue;
      const entitled = withinGuarantee(ctx.teams.get(spec.team), ledger, spec, 1);
      if (spec.priority !== 'production' && !entitled) continue;
      const found = pickVictims({
        job: spec,
        jobs: view.jobs,
        slice: this.slice(),
        ledger,
        teams: ctx.teams,
        taken: (m) => this.claims.has(m.name),
      });
      if (found === null) continue;
      const { machine, victims } = found;
      this.claims.set(machine.name, { job: id, until: t + ctx.operator.placement.claim_s * 1000 });
      for (const v of victims)
        ctx.log.info(
          { job: v.job, tasks: v.tasks, attempt: v.attempt, machine: machine.name, for: id, entitled },
          'preempt',
        );
      const placed = stopped(machine.placed, victims);
      const k = key.machine(machine.name);
      return this.commitGroups(
        [
          {
            ops: [{ key: k, value: { ...machine, placed } satisfies MachineRecord }],
            guards: [ctx.guard(k), ctx.guard(key.slice(machine.owner))],
          },
        ],
        URGENT.starts,
      );
    }
    return true;
  }

  /** Direct messages: fences for machines that have not shown their token, stops that cannot wait. */
  private reach(work: readonly MachineName[]): void {
    const { ctx } = this;
    const w = { jobs: ctx.view.jobs, ledger: ctx.ledger() };
    for (const name of work) {
      const m = ctx.view.machines.get(name);
      if (m === undefined || !ctx.isMine(m)) continue;
      const mem = this.memoryOf(m);
      const report = mem.report ?? this.health.lastReport(m.name);
      const address = report?.address ?? m.address;
      if (address === undefined || m.phase === 'releasing' || this.fencing.has(m.name)) continue;
      let stops: Command[] = [];
      if (report?.token === mem.token && mem.report !== null) {
        stops = commands(m, mem, w, this.ctx.clock.now(), false).filter(
          (c) => c.op === 'stop' && !this.told(m.name, c),
        );
        if (stops.length === 0) continue;
      } else if (report !== null && report.token > mem.token) continue;
      this.fencing.set(m.name, this.ctx.clock.now());
      // Without any report the session is a guess: the refusal brings the report, and the next try has it.
      const session = report?.session ?? 1;
      void this.workers.direct(address, mem.token, session, stops).then((answer) => {
        if (answer !== null && answer.machine === m.name) {
          this.health.saw(answer);
          const current = ctx.view.machines.get(m.name);
          if (current !== undefined && ctx.isMine(current) && answer.token <= ctx.view.tokenOf(current))
            if (takeReport(this.memoryOf(current), answer, this.ctx.clock.now(), false, this.reportMs)) {
              this.dirty.add(m.name);
              this.bell.ring();
            }
        }
        ctx.clock.after(answer === null ? 1500 : 100, () => this.fencing.delete(m.name));
      });
    }
  }

  private readonly toldAt = new Map<string, Steady>();
  private told(machine: MachineName, c: Command): boolean {
    const k = `${machine} ${c.job}/${c.index}@${c.attempt}`;
    const before = this.toldAt.get(k);
    if (before !== undefined && this.ctx.clock.now() - before < 4000) return true;
    if (this.toldAt.size > 2000) this.toldAt.clear();
    this.toldAt.set(k, this.ctx.clock.now());
    return false;
  }
}
