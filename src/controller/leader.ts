// What only the leader does: who owns which team and machine, what is rented and returned. Every commit is
// guarded on the leadership; what is asked of the cloud was committed before.
import { Forecast } from '../core/forecast.js';
import { planFleet, type RentalNeed, type Reserve } from '../core/fleet.js';
import { typeAllowed } from '../core/jobs.js';
import { bytesOf, partsWithin } from '../core/records.js';
import { newer } from '../core/takeover.js';
import { planHolders, planTeams, type LiveNode } from '../core/slices.js';
import {
  NO_VERSION,
  fits,
  nodeName,
  type JobSpec,
  type MachineName,
  type MachineRecord,
  type MachineType,
  type NodeName,
  type RentalRecord,
  type Report,
  type SessionRecord,
  type SliceRecord,
  type Steady,
  type Token,
  type TeamRecord,
  type TypeName,
  type Zone,
} from '../core/types.js';
import { key } from '../core/view.js';
import type { CloudClient } from '../io/cloud.js';
import { pack, type Group } from '../io/state.js';
import { URGENT, type Urgency } from '../io/pacer.js';
import type { Guard, ListedMachine, Op } from '../io/wire.js';
import { Bell, type Context } from './context.js';
import type { Membership } from './membership.js';

interface Unknown {
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly token: number;
}

/** A worker that is there reports again after so long, and before so long. */
const CALL_AGAIN_MS = 700;
const CALLS_MS = 30_000;
const MOST_CALLERS = 2000;
/** A worker that gets no answer is at the next controller so much later. */
const STRAYED_MS = 6000;
/** The cloud rents at most so many machines by one request. */
const MOST_RENTED = 50;
/** Less room than this in a record is too little for another job's tasks. */
const FULL_RECORD = 300;

export class Leader {
  private readonly bell: Bell;
  /** Machines that reported and have no record. */
  private readonly strangers = new Map<MachineName, Unknown>();
  /** Since when the list shows a machine without a record, or a record's machine is empty. */
  private readonly listedSince = new Map<MachineName, Steady>();
  private readonly emptySince = new Map<MachineName, Steady>();
  private readonly released = new Map<MachineName, Steady>();
  private readonly forecast: Forecast;
  private readonly refused = new Map<string, Steady>();
  private rentalNumber = 0;
  private leadingSince: Steady | null = null;
  private busyRenting = false;
  private busyReleasing = false;
  private planMs = 0;

  constructor(
    private readonly ctx: Context,
    private readonly membership: Membership,
    private readonly cloud: CloudClient,
  ) {
    this.bell = new Bell(ctx.clock);
    const { forecast_window_s, spare_spread, overhead_s } = ctx.operator.fleet;
    this.forecast = new Forecast({ windowS: forecast_window_s, spread: spare_spread, overheadS: overhead_s });
    ctx.listeners.push((keys) => {
      for (const k of keys)
        if (k.startsWith('p/s/') || k === key.leader || k.startsWith('p/j/')) {
          this.bell.ring();
          return;
        }
    });
  }

  /** Workers that no record knows, as they first reported. */
  private readonly callers = new Map<MachineName, { session: number; seq: number; at: Steady }>();

  /**
   * A worker that no record knows. One report may be a late copy from a machine that was returned long ago: only
   * a worker that reports again, later and newer, is there.
   */
  stranger(r: Report): void {
    if (this.released.has(r.machine)) return;
    const t = this.ctx.clock.now();
    const before = this.callers.get(r.machine);
    if (before !== undefined && !newer(r, before)) return;
    if (before === undefined || t - before.at > CALLS_MS) {
      if (this.callers.size >= MOST_CALLERS) this.callers.clear();
      this.callers.set(r.machine, { session: r.session, seq: r.seq, at: t });
      return;
    }
    if (t - before.at < CALL_AGAIN_MS) return;
    this.callers.delete(r.machine);
    this.strangers.set(r.machine, { type: r.type, zone: r.zone, spot: r.spot, token: r.token });
    this.bell.ring();
  }

  async run(): Promise<never> {
    let pause = 0;
    void this.listLoop();
    for (;;) {
      await this.ctx.clock.sleep(pause);
      await this.bell.wait(500);
      pause = 100;
      if (!this.ctx.follower.ready || !this.membership.isLeader) {
        this.leadingSince = null;
        this.strangers.clear();
        continue;
      }
      this.leadingSince ??= this.ctx.clock.now();
      this.planMs = 0;
      try {
        await this.step();
        // However long a plan takes on this machine, it never takes more than a part of its time.
        pause = Math.max(pause, this.planMs * 4);
      } catch (e) {
        this.ctx.log.error({ err: e }, 'leader loop');
        pause = 500;
      }
    }
  }

  private async commit(ops: readonly Op[], guards: readonly Guard[], urgency: Urgency): Promise<boolean> {
    if (!this.membership.isLeader) return false;
    const r = await this.ctx.commit([this.ctx.guard(key.leader), ...guards], ops, urgency);
    return r === 'ok';
  }

  private packed(groups: readonly Group[]) {
    const { ctx } = this;
    return pack(groups, [ctx.guard(key.leader)], ctx.state.settings, ctx.view);
  }

  /** Single-key changes, as many to a transaction as fit; one that fails does not hold up the others. */
  private async commitEach(ops: readonly Op[], urgency: Urgency): Promise<boolean> {
    // Taken before the first wait: a value goes with the versions that it was made from. Were the guards of a later
    // transaction read when its turn comes, it would overwrite what was committed in between, such as a start.
    const groups = ops.map((o) => ({ ops: [o], guards: this.guardsOf(o) }));
    let ok = true;
    for (const txn of this.packed(groups)) ok = (await this.commit(txn.ops, txn.guards, urgency)) && ok;
    return ok;
  }

  /**
   * The key written, and for a machine the slice it is in: the floor that a move gives it is above its token
   * only as long as that slice has not got another holder.
   */
  private guardsOf(o: Op): Guard[] {
    const { ctx } = this;
    const before = ctx.view.entries.get(o.key)?.value as { owner?: string } | undefined;
    const slice = o.key.startsWith('p/m/') ? before?.owner : undefined;
    return [ctx.guard(o.key), ...(slice === undefined ? [] : [ctx.guard(key.slice(slice))])];
  }

  private live(): LiveNode[] {
    const out: LiveNode[] = [];
    for (const s of this.ctx.view.sessions.values() as Iterable<SessionRecord>)
      out.push({
        node: s.node,
        incarnation: s.incarnation,
        ageS: (this.ctx.clock.now() - (this.ctx.sessionSince.get(s.node) ?? this.ctx.clock.now())) / 1000,
        fit: (this.unfit.get(s.node) ?? 0) < this.ctx.clock.now(),
      });
    return out.sort((a, b) => (a.node < b.node ? -1 : 1));
  }

  /**
   * Machines that have answered to another controller for a while follow it: their owner does not reach them.
   * One that reaches none of its machines is given no teams for a time, though its session lives.
   */
  private async follow(live: readonly LiveNode[]): Promise<boolean> {
    const { ctx } = this;
    const t = ctx.clock.now();
    const ops: Op[] = [];
    const reached = new Map<string, number>();
    const lost = new Map<string, number>();
    for (const m of ctx.view.machines.values()) {
      if (m.phase === 'booting') continue;
      const node = ctx.substituteOf(m);
      const count = node === null ? reached : lost;
      const holder = ctx.holderOf(m);
      if (holder !== null) count.set(holder, (count.get(holder) ?? 0) + 1);
      if (node === null || holder === null) {
        this.substitutedSince.delete(m.name);
        continue;
      }
      const before = this.substitutedSince.get(m.name);
      const token = ctx.view.tokenOf(m);
      const since = before?.token === token ? before.at : t;
      this.substitutedSince.set(m.name, { at: since, token });
      this.strayedAt.set(m.name, t);
      const to = live.find((n) => n.node === node);
      if (to !== undefined && t - since > ctx.settings.workers.report_s * 1600) {
        this.substitutedSince.delete(m.name);
        ops.push(this.handOver(m, to.node, 'reaches only that one'));
      }
    }
    for (const [name, at] of this.strayedAt)
      if (t - at > STRAYED_MS * ctx.settings.nodes || !ctx.view.machines.has(name))
        this.strayedAt.delete(name);
    for (const [node, n] of lost)
      if (n >= 2 && !reached.has(node)) this.unfit.set(node, (t + 25_000) as Steady);
    return ops.length === 0 || (await this.commitEach(ops, URGENT.results));
  }
  private readonly substitutedSince = new Map<MachineName, { at: Steady; token: Token }>();
  private readonly unfit = new Map<string, Steady>();
  /**
   * When a machine last turned to another controller though its owner lives. One that is heard and does not hear goes
   * round all of them: moved to another slice it would be judged anew, and given work once more.
   */
  private readonly strayedAt = new Map<MachineName, Steady>();

  private async step(): Promise<void> {
    const { ctx } = this;
    const { view } = ctx;
    if (view.types === null) await this.refreshTypes();
    if (view.types === null) return;
    const live = this.live();
    if (!(await this.follow(live))) return;
    const slices = [ctx.settings.node, ...ctx.settings.peers.map((p) => p.node)].sort();
    const teams = planTeams(slices, [...ctx.teams.values()], view.teams);
    if (teams.size > 0) {
      const ops: Op[] = [];
      for (const [name, owner] of teams) {
        ctx.log.info({ team: name, slice: owner }, 'team assigned');
        ops.push({ key: key.team(name), value: { owner } satisfies TeamRecord });
      }
      if (!(await this.commitEach(ops, URGENT.session))) return;
    }
    // At the very start each controller takes its own slice; the missing ones are given a moment.
    const early = ctx.clock.now() - this.leadingSince! < 1500;
    const holders = planHolders(slices, live, view.slices, ctx.operator.slices.settled_s);
    const ops: Op[] = [];
    for (const [slice, n] of holders) {
      if (early && !view.slices.has(slice)) continue;
      ctx.log.info({ slice, from: view.slices.get(slice)?.holder, to: n.node }, 'slice assigned');
      ops.push({
        key: key.slice(slice),
        value: { holder: n.node, incarnation: n.incarnation } satisfies SliceRecord,
      });
    }
    if (ops.length > 0 && !(await this.commitEach(ops, URGENT.session))) return;
    await this.adopt(slices);
    this.release();
    await this.plan(slices);
  }

  private handOver(m: MachineRecord, to: NodeName, why: string): Op {
    const value: MachineRecord = { ...m, owner: to, floor: this.ctx.view.tokenOf(m) + 1 };
    this.ctx.log.info({ machine: m.name, from: m.owner, to, floor: value.floor, why }, 'machine assigned');
    return { key: key.machine(m.name), value };
  }

  private record(name: MachineName, u: Unknown, owner: NodeName): MachineRecord {
    return {
      name,
      type: u.type,
      zone: u.zone,
      spot: u.spot,
      owner,
      floor: u.token + 1,
      phase: 'booting',
      placed: [],
      since: this.ctx.clock.wall(),
    };
  }

  private async adopt(slices: readonly NodeName[]): Promise<void> {
    const { ctx } = this;
    if (this.strangers.size === 0) return;
    const count = new Map<NodeName, number>();
    for (const m of ctx.view.machines.values()) count.set(m.owner, (count.get(m.owner) ?? 0) + 1);
    const ops: Op[] = [];
    for (const [name, u] of this.strangers) {
      if (ctx.view.machines.has(name)) continue;
      const owner = [...slices].sort((a, b) => (count.get(a) ?? 0) - (count.get(b) ?? 0))[0]!;
      count.set(owner, (count.get(owner) ?? 0) + 1);
      const m = this.record(name, u, owner);
      ctx.log.info({ machine: name, to: m.owner, floor: m.floor }, 'machine adopted');
      ops.push({ key: key.machine(name), value: m });
    }
    this.strangers.clear();
    await this.commitEach(ops, URGENT.starts);
  }

  private release(): void {
    const { ctx } = this;
    if (this.busyReleasing) return;
    const names = [...ctx.view.machines.values()].filter((m) => m.phase === 'releasing').map((m) => m.name);
    if (names.length === 0) return;
    this.busyReleasing = true;
    const some = names.slice(0, 100);
    void this.cloud
      .release(some)
      .then(async (gone) => {
        if (!gone) return;
        for (const n of some) this.released.set(n, this.ctx.clock.now());
        // The cloud has said that they and everything on them are gone: their tasks are free.
        const there = some.filter((n) => ctx.view.machines.has(n));
        ctx.log.info({ machines: there }, 'machines released');
        await this.commitEach(
          there.map((n) => ({ key: key.machine(n), value: undefined })),
          URGENT.results,
        );
      })
      .catch((e: unknown) => {
        ctx.log.error({ err: e }, 'release');
      })
      .finally(() => {
        this.busyReleasing = false;
      });
  }

  private async plan(slices: readonly NodeName[]): Promise<void> {
    const { ctx } = this;
    const { view, operator } = ctx;
    const t = this.ctx.clock.now();
    const wall = this.ctx.clock.wall();
    const ageS = (m: MachineRecord) => (wall - m.since) / 1000;
    const bootS = (m: MachineRecord) => ctx.types.get(m.type)?.bootS ?? 60;
    const machines = [...view.machines.values()];
    const drop: MachineRecord[] = [];
    for (const m of machines) {
      if (m.placed.length > 0 || m.phase !== 'up') this.emptySince.delete(m.name);
      else if (!this.emptySince.has(m.name)) this.emptySince.set(m.name, t);
      const lost = m.phase === 'booting' && ageS(m) > bootS(m) * operator.fleet.lost_boot_factor + 30;
      if (lost || (m.phase === 'up' && m.drain === true && m.placed.length === 0)) drop.push(m);
    }
    for (const n of [...this.emptySince.keys()]) if (!view.machines.has(n)) this.emptySince.delete(n);
    for (const [n, at] of this.released) if (t - at > 120_000) this.released.delete(n);
    const owners = new Map([...view.teams].map(([team, r]) => [team, r.owner]));
    const plan = planFleet({
      jobs: ctx.needs.all().startable,
      machines,
      rentals: view.rentals.values(),
      ledger: ctx.ledger(),
      types: view.types!,
      owners,
      usable: (m) =>
        m.drain !== true &&
        // A machine whose record is full takes nothing more, however much of it is free.
        (m.placed.length === 0 || ctx.recordRoom(m) > FULL_RECORD) &&
        // Its owner does not reach it, so what is free on it is of no use now.
        ctx.substituteOf(m) === null &&
        (m.phase === 'up' || (m.phase === 'booting' && ageS(m) < bootS(m) * operator.fleet.late_boot_factor)),
      movable: (m) => (m.heard ?? 0) >= view.tokenOf(m) && !this.strayedAt.has(m.name),
      yields: ctx.yielding(),
      mayHold: (j) => ctx.mayHold(j),
      reserve: this.reserve(),
      available: (type, zone, spot) => (this.refused.get(`${type} ${zone} ${spot}`) ?? 0) < t,
      idle: (m) => {
        const since = this.emptySince.get(m.name);
        return since !== undefined && t - since > operator.fleet.idle_boot_factor * bootS(m) * 1000;
      },
    });
    this.planMs = ctx.clock.now() - t;
    const ops: Op[] = [];
    for (const mv of plan.moves) {
      ops.push(this.handOver(mv.machine, mv.to, 'slices'));
    }
    for (const m of [...drop, ...plan.releases]) {
      ctx.log.info({ machine: m.name, phase: m.phase, ageS: ageS(m) }, 'to be returned');
      ops.push({ key: key.machine(m.name), value: { ...m, phase: 'releasing' } satisfies MachineRecord });
    }
    if (ops.length > 0) await this.commitEach(ops, URGENT.starts);
    this.rent(plan.rentals, slices);
  }

  private reserve(): Reserve[] {
    const { ctx } = this;
    const underWay = new Map<string, number>();
    // A job that waits for others is no work yet: it arrives when the last of them is done.
    for (const j of ctx.needs.all().startable) {
      this.forecast.arrived(j.spec, j.submitted / 1000);
      const left = j.spec.tasks - j.done.count;
      underWay.set(j.spec.class, (underWay.get(j.spec.class) ?? 0) + left);
    }
    const type = (spec: JobSpec) =>
      [...ctx.types.values()].find((t) => typeAllowed(spec, t.name) && fits(spec.demand, t.capacity));
    return [...this.forecast.reserve(ctx.clock.wall() / 1000, underWay, type), ...this.spareForLoss()];
  }

  /** Services are wanted all the time: room for those of any one machine, should it be lost. */
  private spareForLoss(): Reserve[] {
    const { view } = this.ctx;
    let most: Reserve | null = null;
    for (const m of view.machines.values()) {
      const services = m.placed.filter((p) => p.kind === 'service' && p.stop !== true);
      const tasks = services.reduce((n, p) => n + p.tasks.length, 0);
      const spec = services.map((p) => view.jobs.get(p.job)?.spec).find((s) => s !== undefined);
      // Without the job's own ties: its zone is where it was, and the room is for whatever comes there.
      if (spec !== undefined && tasks > (most?.tasks ?? 0))
        most = { spec: { ...spec, oneZone: false, spread: false, tasks }, tasks };
    }
    return most === null ? [] : [most];
  }

  private rent(needs: readonly RentalNeed[], slices: readonly NodeName[]): void {
    if (this.busyRenting) return;
    if (needs.length === 0 && this.ctx.view.rentals.size === 0) return;
    this.busyRenting = true;
    void this.rentNow(needs, slices)
      .catch((e: unknown) => {
        this.ctx.log.error({ err: e }, 'rent');
      })
      .finally(() => {
        this.busyRenting = false;
      });
  }

  private async rentNow(needs: readonly RentalNeed[], slices: readonly NodeName[]): Promise<void> {
    const { ctx } = this;
    // Rentals that an earlier round, or an earlier leader, decided and did not bring to an end: their names
    // give the same answer again, so nothing is rented twice.
    for (const r of [...ctx.view.rentals.values()]) await this.carryOut(r, slices);
    const longest = Math.max(...slices.map((s) => bytesOf(s))) + 1;
    const mostRented = Math.min(MOST_RENTED, Math.floor((ctx.state.settings.valueBytes - 500) / longest));
    const kinds = new Map<string, RentalNeed[]>();
    for (const n of needs) {
      const k = `${n.type} ${n.zone} ${n.spot}`;
      kinds.set(k, [...(kinds.get(k) ?? []), n]);
    }
    for (const list of kinds.values()) {
      const n = list[0]!;
      if ((this.refused.get(`${n.type} ${n.zone} ${n.spot}`) ?? 0) > this.ctx.clock.now()) continue;
      const r: RentalRecord = {
        name: `${ctx.incarnation}-${++this.rentalNumber}`,
        type: n.type,
        zone: n.zone,
        spot: n.spot,
        owners: list.slice(0, mostRented).map((x) => x.owner),
      };
      const k = key.rental(r.name);
      if (!(await this.commit([{ key: k, value: r }], [{ key: k, version: NO_VERSION }], URGENT.starts)))
        return;
      await this.carryOut(r, slices);
    }
  }

  private async carryOut(r: RentalRecord, slices: readonly NodeName[]): Promise<void> {
    const { ctx } = this;
    const answer = await this.cloud.rent(r);
    if (answer.kind === 'unknown') return;
    const k = key.rental(r.name);
    const got = answer.kind === 'rented' ? answer.machines : [];
    ctx.log.info(
      { rental: r.name, type: r.type, zone: r.zone, spot: r.spot, asked: r.owners.length, got },
      'rented',
    );
    if (got.length < r.owners.length)
      this.refused.set(
        `${r.type} ${r.zone} ${r.spot}`,
        (this.ctx.clock.now() + ctx.operator.fleet.refused_s * 1000) as Steady,
      );
    const rental = ctx.guard(k);
    const groups: Group[] = got.flatMap((name, i) => {
      if (ctx.view.machines.has(name)) return [];
      const owner = r.owners.find((o, at) => at >= i && slices.includes(o)) ?? slices[0]!;
      return [
        {
          ops: [{ key: key.machine(name), value: this.record(name, { ...r, token: 0 }, owner) }],
          guards: [rental, { key: key.machine(name), version: NO_VERSION }],
        },
      ];
    });
    // The rental stays on record until all its machines are: whoever goes on with it gets the same answer.
    groups.push({ ops: [{ key: k, value: undefined }], guards: [rental] });
    for (const txn of this.packed(groups))
      if (!(await this.commit(txn.ops, txn.guards, URGENT.starts))) return;
  }

  private async refreshTypes(): Promise<void> {
    const { ctx } = this;
    const types = await this.cloud.types();
    if (types === null) return;
    if (JSON.stringify(ctx.view.types) === JSON.stringify(types)) return;
    const parts = partsWithin(types, ctx.state.settings.valueBytes);
    const names = (list: readonly MachineType[] | null) => JSON.stringify(list?.map((t) => t.name));
    // A longer list that stands in one value, from before the limit fell, is left: only its prices are a little old, and
    // a process of the version before would miss what it can't find there.
    if (parts.length > 1 && names(ctx.view.types) === names(types)) return;
    const ops: Op[] = parts.map((value, i) => ({ key: i === 0 ? key.types : key.moreTypes(i), value }));
    for (let i = parts.length; ctx.view.entries.has(key.moreTypes(i)); i++)
      ops.push({ key: key.moreTypes(i), value: undefined });
    // A list longer than a transaction takes is written in several: its parts are read one by one in any case.
    await this.commitEach(ops, URGENT.starts);
  }

  /** Looks over the cloud's list for machines that no record knows, and for those that failed. */
  private async listLoop(): Promise<never> {
    const { ctx } = this;
    const lagS = ctx.settings.cloudLimits.list_lag_s;
    for (let round = 0; ; round++) {
      await this.ctx.clock.sleep(4000);
      if (!this.membership.isLeader || !ctx.follower.ready) continue;
      try {
        if (round % 8 === 0) await this.refreshTypes();
        const list = await this.cloud.list();
        if (list !== null) await this.compare(list, lagS);
      } catch (e) {
        ctx.log.error({ err: e }, 'list loop');
      }
    }
  }

  private async compare(list: readonly ListedMachine[], lagS: number): Promise<void> {
    const { ctx } = this;
    const t = this.ctx.clock.now();
    const ops: Op[] = [];
    const seen = new Set<MachineName>();
    for (const l of list) {
      seen.add(l.name);
      const m = ctx.view.machines.get(l.name);
      if (m !== undefined) {
        this.listedSince.delete(l.name);
        if (l.state === 'failed' && m.phase !== 'releasing') {
          ctx.log.info({ machine: l.name }, 'failed');
          ops.push({ key: key.machine(l.name), value: { ...m, phase: 'releasing' } satisfies MachineRecord });
        }
        continue;
      }
      if (this.released.has(l.name)) continue;
      // The list lags: what it shows may have been returned, or its rental may be about to be recorded.
      const since = this.listedSince.get(l.name);
      if (since === undefined) this.listedSince.set(l.name, t);
      else if (t - since > (2 * lagS + 3) * 1000)
        this.strangers.set(l.name, { type: l.type, zone: l.zone, spot: l.spot, token: 0 });
    }
    for (const n of [...this.listedSince.keys()]) if (!seen.has(n)) this.listedSince.delete(n);
    if (ops.length > 0) await this.commitEach(ops, URGENT.starts);
    if (this.strangers.size > 0) this.bell.ring();
  }
}

export const leaderOf = (ctx: Context): NodeName | null =>
  ctx.view.leader === null ? null : nodeName(ctx.view.leader.node);
