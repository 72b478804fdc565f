/** Plans which waiting tasks start on which of this controller's machines, and commits the starts. */
import {
  BUSY_FETCHING,
  placedOf,
  schedule,
  withPlaced,
  type WaitReason,
  type Placement,
} from '../../core/placement.js';
import { key } from '../../core/keys.js';
import { without } from '../../core/worker-reports.js';
import {
  attempt,
  type JobId,
  type JobRecord,
  type MachineName,
  type MachineRecord,
  type Placed,
  type TeamName,
} from '../../core/types.js';
import { URGENCY } from '../../io/rate-limiter.js';
import { commitAll, type Group } from '../../io/state/transactions.js';
import type { Context } from '../context.js';
import type { Health } from '../health.js';
import type { MachineReconciler } from './machine-reconciler.js';
import type { MachineSessions } from './machine-sessions.js';
import { Preemptor } from './preemptor.js';
import type { Results } from './results.js';
import { HEARD_INTERVALS } from './unreachable.js';

/** Gangs seen so long ago still have empty machines kept for them. */
const GANG_MEMORY_MS = 600_000;
/** So long a job waits before the reason is logged, and from then to the next time. */
const LOG_WAIT_MS = 30_000;
/** Bounds of the starts planned in one pass; between them as many as can be committed in about the time below. */
const LEAST_PLANNED = 16;
const MOST_PLANNED = 64;
const PASS_MS = 2500;
/** Tasks that share a machine are started by one change; about so many are expected to. */
const TASKS_PER_CHANGE = 2;
/** An attempt is made of the revision at which the team's slice got its holder and a counter below this. */
const ATTEMPT_COUNTER = 2 ** 22;

/** Plans and commits the starts of one pass. */
export class Starts {
  /** Why waiting jobs of this controller's teams were passed over last time. */
  waitReasons: ReadonlyMap<JobId, WaitReason> = new Map();
  private counter = 0;
  private gangSeenAt = Number.NEGATIVE_INFINITY;
  private readonly loggedAt = new Map<JobId, number>();
  private readonly preemptor: Preemptor;

  constructor(
    private readonly ctx: Context,
    private readonly sessions: MachineSessions,
    private readonly health: Health,
    private readonly results: Results,
    private readonly machines: MachineReconciler,
  ) {
    this.preemptor = new Preemptor(ctx);
  }

  /** Places waiting tasks; where none can be placed, makes room for one. */
  plan(): Plan {
    const placements = this.place();
    if (placements.length > 0) return this.groupsOf(placements);
    const preemption = this.preemptor.preempt(this.waitReasons, this.slice());
    return { gangs: [], others: preemption === null ? [] : [preemption] };
  }

  /** False: not all were committed. */
  async commit({ gangs, others }: Plan): Promise<boolean> {
    const { state, follower } = this.ctx;
    // Of a gang all tasks are committed, however long that takes: a part of it would only have to go again.
    const ok = await commitAll(state, follower, gangs, URGENCY.starts);
    return (await commitAll(state, follower, others, URGENCY.starts)) && ok;
  }

  /** Machines that may be given work now. */
  private slice(): MachineRecord[] {
    const { ctx } = this;
    const heardMs = ctx.settings.workers.report_s * 1000 * HEARD_INTERVALS;
    return ctx.myMachines().filter((m) => {
      const memory = this.sessions.known(m.name);
      if (m.phase === 'releasing' || m.drain === true || memory?.report == null) return false;
      return ctx.clock.now() - memory.heardAt < heardMs && !this.health.sick(m);
    });
  }

  private place(): readonly Placement[] {
    const { ctx } = this;
    const { placement } = ctx.operator;
    const mine = ctx.dependencies.all().startable.filter((j) => ctx.ownsTeam(j.spec.team));
    const ended = this.endedTasks();
    const ledger = ctx.ledger();
    for (const [m, p] of ended) ledger.vacate(m, p, false);
    const { placements, waitReasons } = schedule({
      jobs: mine.filter((j) => !this.health.backedOff(j.spec.id)),
      slice: this.slice(),
      ledger,
      // A number for each start; the revision at which the team's slice got its holder is put before it below,
      // so that no attempt is ever used twice.
      newAttempt: () => attempt(++this.counter),
      fetchRank: (m, image) => this.fetchRank(m, image),
      avoid: (job, m) => this.health.avoids(job, m) || this.preemptor.isClaimedByOther(job, m),
      recordRoom: (name) => ctx.recordRoom(ctx.view.machines.get(name)!),
      most: this.mostPlanned(),
      keepWhole: this.areGangsAbout(),
      yields: ctx.yielding(),
      mayHold: (j) => ctx.mayHold(j),
      overdue: (j) => ctx.clock.wall() - j.submitted > placement.behind_s * 1000,
      hSlack: placement.h_slack,
    });
    for (const [m, p] of ended) ledger.vacate(m, p, true);
    this.waitReasons = waitReasons;
    this.logWaiting(mine);
    for (const p of placements) this.preemptor.used(p.machine.name);
    return placements;
  }

  /** Tasks that have ended and whose entries are still in their machines' records: their room can be used. */
  private endedTasks(): [MachineRecord, Placed][] {
    const ended: [MachineRecord, Placed][] = [];
    for (const name of this.results.machines()) {
      const machine = this.ctx.view.machines.get(name);
      if (machine === undefined) continue;
      for (const e of this.results.provenOn(machine))
        ended.push([machine, { ...e.placed, tasks: [e.index] }]);
    }
    return ended;
  }

  private mostPlanned(): number {
    const changes = this.ctx.state.writesWithin(PASS_MS);
    return Math.max(LEAST_PLANNED, Math.min(MOST_PLANNED, changes * TASKS_PER_CHANGE));
  }

  /** Gangs have been seen of late, in whatever team. */
  private areGangsAbout(): boolean {
    const now = this.ctx.clock.now();
    for (const j of this.ctx.view.jobs.values())
      if (j.spec.kind === 'gang') {
        this.gangSeenAt = now;
        break;
      }
    return now - this.gangSeenAt < GANG_MEMORY_MS;
  }

  /** 0: the machine has the image; 1: it fetches it already; 2: it fetches nothing; 3: it fetches others. */
  private fetchRank(machine: MachineRecord, image: string): number {
    if (this.health.cached(machine, image)) return 0;
    let rank = 2;
    for (const p of machine.placed) {
      const other = this.ctx.view.jobs.get(p.job)?.spec.image;
      if (other === image) return 1;
      if (other !== undefined && !this.health.cached(machine, other)) rank = BUSY_FETCHING;
    }
    return rank;
  }

  /** Why a job waits is asked for afterwards, too: it is logged now and then of those that wait for long. */
  private logWaiting(mine: readonly JobRecord[]): void {
    const wall = this.ctx.clock.wall();
    for (const id of this.loggedAt.keys()) if (!this.waitReasons.has(id)) this.loggedAt.delete(id);
    for (const { spec, submitted } of mine) {
      const why = this.waitReasons.get(spec.id);
      const since = Math.max(submitted, this.loggedAt.get(spec.id) ?? 0);
      if (why === undefined || wall - since < LOG_WAIT_MS) continue;
      this.loggedAt.set(spec.id, wall);
      const waitsS = Math.round((wall - submitted) / 1000);
      this.ctx.log.info({ job: spec.id, team: spec.team, priority: spec.priority, waitsS, why }, 'waits');
    }
  }

  private groupsOf(placements: readonly Placement[]): Plan {
    const byMachine = new Map<MachineName, Placement[]>();
    for (const p of placements) {
      const list = byMachine.get(p.machine.name);
      if (list === undefined) byMachine.set(p.machine.name, [p]);
      else list.push(p);
    }
    const gangs: Group[] = [];
    const others: Group[] = [];
    for (const [name, list] of byMachine) {
      const isGang = list.some((p) => p.job.kind === 'gang');
      (isGang ? gangs : others).push(this.groupOf(this.ctx.view.machines.get(name)!, list));
    }
    return { gangs, others };
  }

  /** The change that starts tasks on one machine, and takes out those that have ended. */
  private groupOf(machine: MachineRecord, placements: readonly Placement[]): Group {
    const { ctx } = this;
    const k = key.machine(machine.name);
    const guards = [ctx.guard(k), ctx.guard(key.slice(machine.owner))];
    const gone = this.results.provenOn(machine).filter((e) => this.results.isDurable(e));
    let placed: readonly Placed[] = without(machine.placed, gone);
    for (const p of placements) {
      const full = attempt(this.epochOf(p.job.team) * ATTEMPT_COUNTER + (p.attempt % ATTEMPT_COUNTER));
      placed = withPlaced(placed, placedOf(p.job, full, [p.index]));
      guards.push(...ctx.teamGuards(p.job.team), ctx.guard(key.job(p.job.id)));
      this.logPlacement(p, full);
    }
    const value: MachineRecord = {
      ...machine,
      phase: 'up',
      placed,
      ...this.machines.learned(machine, this.sessions.of(machine)),
    };
    return { ops: [{ key: k, value, reason: 'start' }], guards };
  }

  /** The revision at which the team's slice got its holder. */
  private epochOf(team: TeamName): number {
    const { view } = this.ctx;
    return view.versionOf(key.slice(view.teams.get(team)!.owner));
  }

  private logPlacement(p: Placement, full: number): void {
    const { ctx } = this;
    ctx.log.info(
      {
        task: ctx.task(p.job.id, p.index),
        team: p.job.team,
        attempt: full,
        machine: p.machine.name,
        token: ctx.view.tokenOf(p.machine),
        share: Number(p.share.toPrecision(5)),
        h: Number(p.h.toPrecision(5)),
        fetch: p.fetch,
      },
      'place',
    );
  }
}

/** Changes that start tasks; those of gangs first. */
export interface Plan {
  readonly gangs: readonly Group[];
  readonly others: readonly Group[];
}
