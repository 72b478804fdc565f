/** The committed state of the cluster, as plugins read it from a controller's view. */
import { nodeName, type JobId, type MachineName, type NodeName } from '../core/model/ids.js';
import type { MachineRecord } from '../core/model/machines.js';
import { key } from '../core/records/keys.js';
import type { ViewChanges } from '../core/state/view-changes.js';
import type { CommittedSession, CommittedShard, CommittedState } from '../plugin-host/api.js';
import type { ControllerContext } from './controller-context.js';

/** Implements `CommittedState` on the view of one controller. */
export class ViewCommittedState implements CommittedState {
  constructor(private readonly context: ControllerContext) {}

  get isReady(): boolean {
    return this.context.watcher.isReady;
  }

  /** All shards that have a record. */
  shards(): CommittedShard[] {
    return [...this.context.view.shards.keys()].map((name) => this.shard(nodeName(name))!);
  }

  /** The shard with this name; null where it has no record. */
  shard(name: NodeName): CommittedShard | null {
    const { view } = this.context;
    const record = view.shards.get(name);
    if (record === undefined) return null;
    return {
      name,
      holder: record.holder,
      incarnation: record.incarnation,
      epoch: view.versionOf(key.shard(name)),
      hasSession: view.sessions.get(record.holder)?.incarnation === record.incarnation,
    };
  }

  /** The sessions of all controllers. */
  sessions(): CommittedSession[] {
    return [...this.context.view.sessions.values()].map((session) => ({
      node: session.node,
      incarnation: session.incarnation,
      isDraining: session.draining === true,
    }));
  }

  /** The machine's record; null where it has none. */
  machine(name: MachineName): MachineRecord | null {
    return this.context.view.machines.get(name) ?? null;
  }

  /** All machines that belong to the shard. */
  machinesOf(shard: NodeName): MachineRecord[] {
    return [...this.context.view.machines.values()].filter((m) => m.owner === shard);
  }

  /** Whether the job is unfinished. */
  hasJob(job: JobId): boolean {
    return this.context.view.jobs.has(job);
  }

  /** Whether this process holds the shard and its view has all that was committed before it acquired the shard. */
  isHeldCompletely(shard: NodeName): boolean {
    return this.context.view.isHeldBy(shard, this.context.incarnation);
  }

  /**
   * Whether no request to the state service has failed since the latest answered one was sent, or that one was sent
   * less than `withinMs` milliseconds ago.
   */
  isStateReachable(withinMs: number): boolean {
    return this.context.state.isReachable(withinMs);
  }

  /** Calls the listener after each change of the view. */
  subscribe(listener: (changes: ViewChanges) => void): void {
    this.context.viewChanges.subscribe(listener);
  }
}
