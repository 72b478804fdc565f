/** What all loops of one controller share. */
import type { Logger } from 'pino';
import type { Operator } from '../config/operator.js';
import type { Settings } from '../config/settings.js';
import type { Clock } from '../core/clock.js';
import type { JobOrderContext } from '../core/job-order.js';
import { EventBus } from '../core/events.js';
import { AllocationTotals } from '../core/ledger.js';
import { key } from '../core/keys.js';
import { jsonBytes, toStoredJob, type StoredJob } from '../core/records.js';
import { FinalStateCache } from './final-states.js';
import { DependencyTracker } from './dependency-tracker.js';
import {
  incarnation,
  type Incarnation,
  type JobId,
  type JobRecord,
  type MachineRecord,
  type MachineType,
  type NodeName,
  type MonotonicMs,
  type Team,
  type TeamName,
  type TypeName,
} from '../core/types.js';
import { viewChangesOf, type ViewChanges } from '../core/changes.js';
import { ClusterView } from '../core/view.js';
import { StateClient } from '../io/state/client.js';
import { StateWatcher } from '../io/state/follower.js';
import { commit } from '../io/state/transactions.js';
import type { Transport } from '../io/http.js';
import type { RequestPriority } from '../io/rate-limiter.js';
import type { Guard, WriteOperation } from '../io/wire.js';

const MOST_IMAGES_BYTES = 300;
/** An entry may be marked as stopping; a machine may get an address, drain, hear a token, be given up. */
const MARK_BYTES = 13;
const LATER_BYTES = 130;

/** What one controller knows: its settings, its view of the shared state, and sums over that. */
export class ControllerContext {
  readonly incarnation: Incarnation;
  readonly view = new ClusterView();
  readonly state: StateClient;
  readonly watcher: StateWatcher;
  readonly finalStates: FinalStateCache;
  readonly dependencies: DependencyTracker;
  readonly teams: ReadonlyMap<TeamName, Team>;
  /** Sessions as this process saw them appear. */
  readonly sessionSince = new Map<string, MonotonicMs>();
  /** Told of changes after the view has taken them in. */
  readonly listeners: ((changes: ViewChanges) => void)[] = [];
  /** What this controller does and learns, for packages. */
  readonly events = new EventBus();
  private allocationTotals: AllocationTotals | null = null;
  private allocationTypes: ReadonlyMap<TypeName, MachineType> | null = null;
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
        lowRps: Math.min(s.rps, s.next?.rps ?? s.rps),
        lowWriteRps: Math.min(s.write_rps, s.next?.write_rps ?? s.write_rps),
        // The lower limits hold from some moment on, without notice: nothing larger is ever written.
        operationsPerTransaction: Math.min(s.txn_ops, s.next?.txn_ops ?? s.txn_ops),
        valueBytes: Math.min(s.value_kb, s.next?.value_kb ?? s.value_kb) * 1024,
        nodes: settings.nodes,
      },
      clock,
      stateHttp,
      watchHttp,
      (operations, answer) => {
        log.error({ keys: operations.map((o) => o.key), answer }, 'transaction rejected');
      },
      (operations, outcome, since) => {
        if (this.events.isActive)
          this.events.emit({ kind: 'transaction', keys: operations.map((o) => o.key), outcome, since });
      },
    );
    this.finalStates = new FinalStateCache(this.state);
    this.dependencies = new DependencyTracker(this, this.finalStates);
    this.teams = new Map(settings.teams.map((t) => [t.name, t]));
    this.watcher = new StateWatcher(
      this.state,
      this.view,
      (keys) => {
        this.publish(viewChangesOf(keys));
      },
      (operations) => {
        this.finalStates.recordCommitted(operations);
      },
    );
  }

  /** Tells all listeners of changes. */
  publish(changes: ViewChanges): void {
    for (const listener of this.listeners) listener(changes);
  }

  get types(): ReadonlyMap<TypeName, MachineType> {
    if (this.typesFrom !== this.view.types) {
      this.typesFrom = this.view.types;
      this.typeMap = new Map((this.typesFrom ?? []).map((t) => [t.name, t]));
    }
    return this.typeMap;
  }

  /** Sums over the present view; they take in what changed since the last call. */
  allocations(): AllocationTotals {
    const { view, types } = this;
    if (this.allocationTotals === null || this.allocationTypes !== types) {
      this.allocationTypes = types;
      this.allocationTotals = new AllocationTotals(view.machines.values(), types, this.teams);
    } else
      for (const name of view.dirtyMachines) this.allocationTotals.setMachine(name, view.machines.get(name));
    view.dirtyMachines.clear();
    return this.allocationTotals;
  }

  /** Whether this process holds the slice that a machine or a team belongs to, and may act for it. */
  isOwned(r: { owner: string }): boolean {
    return this.view.isHeldBy(r.owner, this.incarnation);
  }

  /** Whether it has got the slice, and does not know yet what was committed before. */
  isBecomingOwned(r: { owner: string }): boolean {
    return this.view.shards.get(r.owner)?.incarnation === this.incarnation && !this.isOwned(r);
  }

  /** The controller that holds the slice, if it has a session. */
  holderOf(r: { owner: string } | undefined): NodeName | null {
    const shard = r === undefined ? undefined : this.view.shards.get(r.owner);
    if (shard === undefined) return null;
    return this.view.sessions.get(shard.holder)?.incarnation === shard.incarnation ? shard.holder : null;
  }

  ownsTeam(team: TeamName): boolean {
    const r = this.view.teams.get(team);
    return r !== undefined && this.isOwned(r);
  }

  /** The controller that answers the machine in its owner's place, if one does. */
  proxyOf(m: MachineRecord): string | null {
    const holder = this.view.shards.get(m.owner)?.holder;
    for (const { node, machines } of this.view.proxiedMachines.values())
      if (node !== holder && machines.has(m.name)) return node;
    return null;
  }

  /** What the order of a team's jobs depends on: owners and the leader have to agree on it. */
  order(): Omit<JobOrderContext, 'hasTasks'> {
    return { wallClock: this.clock.wallClock(), starvationMs: this.operator.placement.behind_s * 1000 };
  }

  /** Whether room is kept for the gang: owners and the leader have to agree on it. */
  mayReserve(job: JobRecord): boolean {
    const { tasks } = job.spec;
    if (job.failing !== undefined) return false;
    const afterMs = (this.operator.placement.hold_after_s * 1000) / Math.sqrt(tasks);
    return tasks > 1 && this.clock.wallClock() - job.submitted > afterMs;
  }

  /**
   * While a gang waits that may not use spot machines, work that may leaves it the empty ones of the others; but not
   * for long, since spot machines may be refused.
   */
  gangWholeMachinePolicy(): (job: JobRecord) => boolean {
    const totals = this.allocations();
    const wanted = this.dependencies
      .current()
      .startable.some(
        ({ spec, phase, failing }) =>
          spec.kind === 'gang' &&
          !spec.spot &&
          phase === 'active' &&
          failing === undefined &&
          !totals.jobs.has(spec.id),
      );
    const since = this.clock.wallClock() - this.operator.placement.yield_s * 1000;
    return ({ spec, submitted }) => wanted && spec.spot && spec.kind !== 'gang' && submitted > since;
  }

  private readonly recordSizes = new WeakMap<MachineRecord, number>();

  /** How many bytes more may be placed in a machine's record, everything counted that may still be added to it. */
  recordBytesLeft(m: MachineRecord): number {
    const { valueBytes } = this.state.limits;
    let size = this.recordSizes.get(m);
    if (size === undefined) {
      // Records are never changed in place. The images are counted with the most that they may take.
      size = jsonBytes({ ...m, images: undefined }) + MARK_BYTES * m.placed.length;
      this.recordSizes.set(m, size);
    }
    return Math.max(0, valueBytes - size - this.imagesBytes - LATER_BYTES);
  }

  /** How much of a machine's record the names of its images may take. */
  get imagesBytes(): number {
    return Math.min(MOST_IMAGES_BYTES, Math.floor(this.state.limits.valueBytes / 8));
  }

  ownedMachines(): MachineRecord[] {
    return [...this.view.machines.values()].filter((m) => this.isOwned(m));
  }

  guard(key: string): Guard {
    return { key, version: this.view.versionOf(key) };
  }

  /** They fail once this process no longer owns the team. */
  teamGuards(team: TeamName): Guard[] {
    return [this.guard(key.team(team)), this.guard(key.shard(this.view.teams.get(team)!.owner))];
  }

  /** The job's record as it is written, within the limit for a value where that is possible. */
  storedJob(job: JobRecord): StoredJob {
    const limit = this.state.limits.valueBytes;
    return toStoredJob(job, limit) ?? toStoredJob({ ...job, failing: undefined }, limit) ?? job;
  }

  commit(guards: readonly Guard[], operations: readonly WriteOperation[], priority: RequestPriority) {
    return commit(this.state, this.watcher, guards, operations, priority);
  }

  taskId(job: JobId, index: number): string {
    return `${job}/${index}`;
  }
}
