// What all loops of one controller share.
import type { Logger } from 'pino';
import type { Operator } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { Clock } from '../core/clock.js';
import { Ledger } from '../core/ledger.js';
import {
  incarnation,
  type Incarnation,
  type JobId,
  type JobRecord,
  type MachineRecord,
  type MachineType,
  type NodeName,
  type Steady,
  type Team,
  type TeamName,
  type TypeName,
} from '../core/types.js';
import { View } from '../core/view.js';
import { Follower, StateClient, commit } from '../io/state.js';
import type { Transport } from '../io/http.js';
import type { Urgency } from '../io/pacer.js';
import type { Guard, Op } from '../io/wire.js';

/** Wakes a loop early; several calls while it works count as one. */
export class Bell {
  private rung = false;
  private go: (() => void) | null = null;

  constructor(private readonly clock: Clock) {}

  ring(): void {
    this.rung = true;
    this.go?.();
  }

  async wait(ms: number): Promise<void> {
    if (!this.rung) {
      let stop: () => void = () => undefined;
      await new Promise<void>((r) => {
        this.go = r;
        stop = this.clock.after(ms, r);
      });
      stop();
    }
    this.go = null;
    this.rung = false;
  }
}

export class Context {
  readonly incarnation: Incarnation;
  readonly view = new View();
  readonly state: StateClient;
  readonly follower: Follower;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Sessions as this process saw them appear. */
  readonly sessionSince = new Map<string, Steady>();
  readonly listeners: ((keys: ReadonlySet<string>) => void)[] = [];
  private ledgerNow: Ledger | null = null;
  private ledgerTypes: ReadonlyMap<TypeName, MachineType> | null = null;
  private typesFrom: readonly MachineType[] | null = null;
  private typeMap: ReadonlyMap<TypeName, MachineType> = new Map();

  constructor(
    readonly settings: Settings,
    readonly operator: Operator,
    readonly log: Logger,
    readonly clock: Clock,
    identity: string,
    stateHttp: Transport,
    watchHttp: Transport,
  ) {
    this.incarnation = incarnation(identity);
    const s = settings.stateLimits;
    this.state = new StateClient(
      {
        rps: s.rps,
        writeRps: s.write_rps,
        txnOps: s.txn_ops,
        valueBytes: s.value_kb * 1024,
        nodes: settings.nodes,
      },
      clock,
      stateHttp,
      watchHttp,
    );
    this.teams = new Map(settings.teams.map((t) => [t.name, t]));
    this.follower = new Follower(this.state, this.view, (keys) => {
      for (const l of this.listeners) l(keys);
    });
  }

  get types(): ReadonlyMap<TypeName, MachineType> {
    if (this.typesFrom !== this.view.types) {
      this.typesFrom = this.view.types;
      this.typeMap = new Map((this.typesFrom ?? []).map((t) => [t.name, t]));
    }
    return this.typeMap;
  }

  /** Sums over the present view; they take in what changed since the last call. */
  ledger(): Ledger {
    const { view, types } = this;
    if (this.ledgerNow === null || this.ledgerTypes !== types) {
      this.ledgerTypes = types;
      this.ledgerNow = new Ledger(view.machines.values(), types, this.teams);
    } else for (const name of view.touched) this.ledgerNow.set(name, view.machines.get(name));
    view.touched.clear();
    return this.ledgerNow;
  }

  /** Whether this process holds the slice that a machine or a team belongs to. */
  isMine(r: { owner: string }): boolean {
    return this.view.slices.get(r.owner)?.incarnation === this.incarnation;
  }

  /** The controller that holds the slice, if it has a session. */
  holderOf(r: { owner: string } | undefined): NodeName | null {
    const slice = r === undefined ? undefined : this.view.slices.get(r.owner);
    if (slice === undefined) return null;
    return this.view.sessions.get(slice.holder)?.incarnation === slice.incarnation ? slice.holder : null;
  }

  ownsTeam(team: TeamName): boolean {
    const r = this.view.teams.get(team);
    return r !== undefined && this.isMine(r);
  }

  /** The controller that answers the machine in its owner's place, if one does. */
  substituteOf(m: MachineRecord): string | null {
    const holder = this.view.slices.get(m.owner)?.holder;
    for (const [node, set] of this.view.alive) if (node !== holder && set.has(m.name)) return node;
    return null;
  }

  /** Whether room is kept for the gang: owners and the leader have to agree on it. */
  mayHold(job: JobRecord): boolean {
    const { tasks } = job.spec;
    const afterMs = (this.operator.placement.hold_after_s * 1000) / Math.sqrt(tasks);
    return tasks > 1 && this.clock.wall() - job.submitted > afterMs;
  }

  /**
   * While a gang waits that may not use spot machines, work that may leaves it the empty ones of the others; but not
   * for long, since spot machines may be refused.
   */
  yielding(): (job: JobRecord) => boolean {
    const ledger = this.ledger();
    const wanted = [...this.view.jobs.values()].some(
      ({ spec, phase }) =>
        spec.kind === 'gang' && !spec.spot && phase === 'active' && !ledger.jobs.has(spec.id),
    );
    const since = this.clock.wall() - this.operator.placement.yield_s * 1000;
    return ({ spec, submitted }) => wanted && spec.spot && spec.kind !== 'gang' && submitted > since;
  }

  myMachines(): MachineRecord[] {
    return [...this.view.machines.values()].filter((m) => this.isMine(m));
  }

  guard(key: string): Guard {
    return { key, version: this.view.versionOf(key) };
  }

  commit(guards: readonly Guard[], ops: readonly Op[], urgency: Urgency) {
    return commit(this.state, this.follower, guards, ops, urgency);
  }

  task(job: JobId, index: number): string {
    return `${job}/${index}`;
  }
}
