/**
 * One process's picture of the shared state, built from a listing and the watch that follows it. Everything
 * the schedulers read stands under one prefix and so arrives in one order: a view at revision R holds
 * exactly what was committed up to R, plus this process's own newer writes.
 */
import { parseKey } from '../records/keys.js';
import { fromStoredJob, type StoredJob } from '../records/stored-records.js';
import type {
  ProxiedMachinesRecord,
  LeaderRecord,
  SessionRecord,
  ShardRecord,
  TeamRecord,
} from '../model/cluster.js';
import {
  fencingToken,
  version,
  revision,
  type Incarnation,
  type JobId,
  type MachineName,
  type Revision,
  type NodeName,
  type TeamName,
  type TypeName,
  type FencingToken,
  type Version,
  NO_VERSION,
} from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { MachineRecord, MachineType, RentalRecord } from '../model/machines.js';

/** A key's value and version. */
export interface VersionedValue {
  readonly value: unknown;
  readonly version: Version;
}

/** A change to one key. */
export interface KeyChange {
  readonly key: string;
  /** Undefined for a removal. */
  readonly value: unknown;
  readonly version: Version;
}

/** The shared state as this process knows it. */
export class ClusterView {
  revision: Revision = revision(0);
  readonly entries = new Map<string, VersionedValue>();
  readonly jobs = new Map<JobId, JobRecord>();
  readonly machines = new Map<MachineName, MachineRecord>();
  readonly teams = new Map<TeamName, TeamRecord>();
  readonly sessions = new Map<string, SessionRecord>();
  readonly shards = new Map<string, ShardRecord>();
  readonly rentals = new Map<string, RentalRecord>();
  readonly cancellations = new Set<JobId>();
  /** By key: a controller, and machines that reach it and not their owner. */
  readonly proxiedMachines = new Map<
    string,
    { readonly node: NodeName; readonly machines: ReadonlySet<MachineName> }
  >();
  leader: LeaderRecord | null = null;
  types: readonly MachineType[] | null = null;
  /** The same types by name; another map whenever they change. */
  typesByName: ReadonlyMap<TypeName, MachineType> = new Map();
  /** Machines whose records changed since somebody last took the set in; see `Context.ledger`. */
  readonly dirtyMachines = new Set<MachineName>();
  /** How often a job's record came, changed or went. */
  jobChangeCount = 0;
  /** The list of types by key: where it does not fit one value it goes on in others. */
  private readonly typeParts = new Map<string, readonly MachineType[]>();
  private readonly shardVersions = new Map<string, Version>();
  /** Removals known before the watch told of them: an older event must not bring such a key back. */
  private readonly removedVersions = new Map<string, Version>();

  versionOf(k: string): Version {
    return this.entries.get(k)?.version ?? NO_VERSION;
  }

  /**
   * The fencing token of a machine: the revision at which its slice got its holder, or the machine's own floor,
   * which is raised above its token whenever it changes slice. Revisions only grow, so each change of who may
   * command a machine gives it a higher token, and a whole slice changes hands with a single write.
   */
  fencingTokenOf(m: MachineRecord): FencingToken {
    return fencingToken(Math.max(this.shardVersions.get(m.owner) ?? NO_VERSION, m.floor));
  }

  /**
   * Whether the process holds the slice, and this view has all that its holders before have committed. A process that
   * gives itself a slice knows so from the answer, before the watch has told of the last starts of the one before it: it
   * would start those tasks once more.
   */
  isHeldBy(shard: string, incarnation: Incarnation): boolean {
    if (this.shards.get(shard)?.incarnation !== incarnation) return false;
    return (this.shardVersions.get(shard) ?? NO_VERSION) <= this.revision;
  }

  /** Applies one change unless a newer one to the same key is known. True if it changed anything. */
  apply(c: KeyChange): boolean {
    // The watch has told all up to there. The answer to a write of this process may come later than that: then the key
    // may have been removed since, and would be brought back for good.
    if (c.version <= this.revision) return false;
    const known = this.entries.get(c.key);
    if (known !== undefined && known.version >= c.version) return false;
    if ((this.removedVersions.get(c.key) ?? NO_VERSION) >= c.version) return false;
    if (c.value === undefined) this.removedVersions.set(c.key, version(c.version));
    if (known === undefined && c.value === undefined) return false;
    if (c.value === undefined) this.entries.delete(c.key);
    else this.entries.set(c.key, { value: c.value, version: version(c.version) });
    this.updateIndexes(c.key, c.value, version(c.version));
    return true;
  }

  /** The watch has told everything up to this revision. */
  advanceTo(rev: Revision): void {
    if (rev <= this.revision) return;
    this.revision = rev;
    for (const [k, v] of this.removedVersions) if (v <= rev) this.removedVersions.delete(k);
  }

  /** Replaces everything by a listing begun at `from`: what it lacks and was not written since is gone. */
  resetTo(rows: readonly KeyChange[], from: Revision): void {
    const listed = new Set(rows.map((r) => r.key));
    for (const [k, e] of [...this.entries]) {
      if (listed.has(k) || e.version > from) continue;
      this.entries.delete(k);
      this.updateIndexes(k, undefined, NO_VERSION);
    }
    for (const r of rows) this.apply(r);
  }

  private updateIndexes(k: string, value: unknown, v: Version): void {
    const set = <K, V>(map: Map<K, V>, name: K) => {
      if (value === undefined) map.delete(name);
      else map.set(name, value as V);
    };
    const parsed = parseKey(k);
    switch (parsed.kind) {
      case 'job':
        if (value === undefined) this.jobs.delete(parsed.job);
        else this.jobs.set(parsed.job, fromStoredJob(value as StoredJob));
        this.jobChangeCount++;
        break;
      case 'machine':
        set(this.machines, parsed.machine);
        this.dirtyMachines.add(parsed.machine);
        break;
      case 'team':
        set(this.teams, parsed.team);
        break;
      case 'shard':
        set(this.shards, parsed.shard);
        if (value === undefined) this.shardVersions.delete(parsed.shard);
        else this.shardVersions.set(parsed.shard, v);
        break;
      case 'session':
        set(this.sessions, parsed.node);
        break;
      case 'rental':
        set(this.rentals, parsed.rental);
        break;
      case 'proxied_machines':
        if (value === undefined) this.proxiedMachines.delete(k);
        else {
          const machines = new Set((value as ProxiedMachinesRecord).machines);
          this.proxiedMachines.set(k, { node: parsed.node, machines });
        }
        break;
      case 'cancellation':
        if (value === undefined) this.cancellations.delete(parsed.job);
        else this.cancellations.add(parsed.job);
        break;
      case 'leader':
        this.leader = (value ?? null) as LeaderRecord | null;
        break;
      case 'types':
        this.indexTypes(k, value);
        break;
      case 'final':
      case 'unknown':
    }
  }

  private indexTypes(k: string, value: unknown): void {
    if (value === undefined) this.typeParts.delete(k);
    else this.typeParts.set(k, value as readonly MachineType[]);
    const parts = [...this.typeParts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, part]) => part);
    this.types = parts.length === 0 ? null : parts.flat();
    this.typesByName = new Map((this.types ?? []).map((type) => [type.name, type]));
  }
}
