/**
 * One process's view of the shared state, built from a listing and the watch that follows it. All records that
 * schedulers read stand under one prefix and arrive in one order: a view at revision R holds exactly what was
 * committed up to R, plus newer writes of this process itself.
 */
import type {
  LeaderRecord,
  ProxiedMachinesRecord,
  SessionRecord,
  ShardRecord,
  TeamRecord,
} from '../model/cluster.js';
import {
  NO_VERSION,
  fencingToken,
  revision,
  type FencingToken,
  type Incarnation,
  type JobId,
  type MachineName,
  type NodeName,
  type Revision,
  type TeamName,
  type TypeName,
  type Version,
} from '../model/ids.js';
import type { JobRecord } from '../model/jobs.js';
import type { MachineRecord, MachineType, RentalRecord } from '../model/machines.js';
import { parseKey } from '../records/keys.js';
import { fromStoredJob, type StoredJob } from '../records/stored-records.js';

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

/** A controller and the machines for which it answers as a proxy, since they do not reach their owner. */
export interface ProxiedMachines {
  readonly node: NodeName;
  readonly machines: ReadonlySet<MachineName>;
}

/** The shared state as this process knows it, with indexes by kind of record. */
export class ClusterView {
  /** The watch has delivered every change up to this revision. */
  revision: Revision = revision(0);
  readonly entries = new Map<string, VersionedValue>();
  readonly jobs = new Map<JobId, JobRecord>();
  readonly machines = new Map<MachineName, MachineRecord>();
  readonly teams = new Map<TeamName, TeamRecord>();
  /** By name of the controller. */
  readonly sessions = new Map<string, SessionRecord>();
  /** By name of the shard. */
  readonly shards = new Map<string, ShardRecord>();
  /** By name of the rental. */
  readonly rentals = new Map<string, RentalRecord>();
  /** Jobs whose cancellation was requested. */
  readonly cancellations = new Set<JobId>();
  /** By key: the machines of one controller may take several records. */
  readonly proxiedMachines = new Map<string, ProxiedMachines>();
  leader: LeaderRecord | null = null;
  /** Null until the leader has written the list. */
  types: readonly MachineType[] | null = null;
  /** The same types by name; replaced by another map whenever they change. */
  typesByName: ReadonlyMap<TypeName, MachineType> = new Map();
  /** Machines whose records changed since the allocation totals last followed them; the reader clears the set. */
  readonly dirtyMachines = new Set<MachineName>();
  /** Number of additions, changes and removals of job records. */
  jobChangeCount = 0;
  /** Parts of the list of types by key: what does not fit into one value goes on in others. */
  private readonly typeParts = new Map<string, readonly MachineType[]>();
  private readonly shardVersions = new Map<string, Version>();
  /** Removals known ahead of the watch: an older event must not bring such a key back. */
  private readonly removedVersions = new Map<string, Version>();

  /** The version of a key; `NO_VERSION` where the key does not exist. */
  versionOf(key: string): Version {
    return this.entries.get(key)?.version ?? NO_VERSION;
  }

  /**
   * The fencing token of a machine: the revision at which its shard got its holder, or the machine's own floor,
   * which is raised above its token whenever the machine changes shard. Revisions only grow, so each change of who
   * may command a machine gives it a higher token, and a whole shard changes hands with a single write.
   */
  fencingTokenOf(machine: MachineRecord): FencingToken {
    return fencingToken(Math.max(this.shardVersions.get(machine.owner) ?? NO_VERSION, machine.floor));
  }

  /**
   * Whether the process holds the shard and this view has all that former holders committed. A process that acquires
   * a shard knows so from the answer to its write, which may precede the last starts of the former holder on the
   * watch: acting at once, it would start those tasks again.
   */
  isHeldBy(shard: string, incarnation: Incarnation): boolean {
    if (this.shards.get(shard)?.incarnation !== incarnation) return false;
    return (this.shardVersions.get(shard) ?? NO_VERSION) <= this.revision;
  }

  /** Applies one change unless a newer one to the same key is known. True if it changed anything. */
  apply({ key, value, version }: KeyChange): boolean {
    // The watch has delivered all changes up to the revision. The answer to a write of this process may arrive later:
    // the key may have been removed since, and applying the write would bring it back for good.
    if (version <= this.revision) return false;
    const known = this.entries.get(key);
    if (known !== undefined && known.version >= version) return false;
    if ((this.removedVersions.get(key) ?? NO_VERSION) >= version) return false;
    if (value === undefined) {
      this.removedVersions.set(key, version);
      if (known === undefined) return false;
      this.entries.delete(key);
    } else {
      this.entries.set(key, { value, version });
    }
    this.updateIndexes(key, value, version);
    return true;
  }

  /** Records that the watch has delivered every change up to this revision. */
  advanceTo(delivered: Revision): void {
    if (delivered <= this.revision) return;
    this.revision = delivered;
    for (const [key, version] of this.removedVersions)
      if (version <= delivered) this.removedVersions.delete(key);
  }

  /** Replaces the content by a listing begun at revision `from`; keys that it lacks and that were not written since go. */
  resetTo(rows: readonly KeyChange[], from: Revision): void {
    const listed = new Set(rows.map((row) => row.key));
    for (const [key, entry] of [...this.entries]) {
      if (listed.has(key) || entry.version > from) continue;
      this.entries.delete(key);
      this.updateIndexes(key, undefined, NO_VERSION);
    }
    for (const row of rows) this.apply(row);
  }

  private updateIndexes(key: string, value: unknown, version: Version): void {
    const parsed = parseKey(key);
    switch (parsed.kind) {
      case 'job':
        this.indexJob(parsed.job, value);
        break;
      case 'machine':
        setOrDelete(this.machines, parsed.machine, value);
        this.dirtyMachines.add(parsed.machine);
        break;
      case 'team':
        setOrDelete(this.teams, parsed.team, value);
        break;
      case 'shard':
        this.indexShard(parsed.shard, value, version);
        break;
      case 'session':
        setOrDelete(this.sessions, parsed.node, value);
        break;
      case 'rental':
        setOrDelete(this.rentals, parsed.rental, value);
        break;
      case 'proxied_machines':
        this.indexProxiedMachines(key, parsed.node, value);
        break;
      case 'cancellation':
        this.indexCancellation(parsed.job, value);
        break;
      case 'leader':
        this.leader = (value ?? null) as LeaderRecord | null;
        break;
      case 'types':
        this.indexTypes(key, value);
        break;
      default:
      // Final states and keys of unknown form have no index.
    }
  }

  private indexJob(job: JobId, value: unknown): void {
    setOrDelete(this.jobs, job, value === undefined ? undefined : fromStoredJob(value as StoredJob));
    this.jobChangeCount++;
  }

  private indexShard(shard: NodeName, value: unknown, version: Version): void {
    setOrDelete(this.shards, shard, value);
    setOrDelete(this.shardVersions, shard, value === undefined ? undefined : version);
  }

  private indexProxiedMachines(key: string, node: NodeName, value: unknown): void {
    if (value === undefined) {
      this.proxiedMachines.delete(key);
      return;
    }
    const machines = new Set((value as ProxiedMachinesRecord).machines);
    this.proxiedMachines.set(key, { node, machines });
  }

  private indexCancellation(job: JobId, value: unknown): void {
    if (value === undefined) this.cancellations.delete(job);
    else this.cancellations.add(job);
  }

  private indexTypes(key: string, value: unknown): void {
    setOrDelete(this.typeParts, key, value);
    const parts = [...this.typeParts].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, part]) => part);
    this.types = parts.length === 0 ? null : parts.flat();
    this.typesByName = new Map((this.types ?? []).map((type) => [type.name, type]));
  }
}

/** Stores the value of a record under its name; undefined removes it. */
function setOrDelete<Name, RecordType>(index: Map<Name, RecordType>, name: Name, value: unknown): void {
  if (value === undefined) index.delete(name);
  else index.set(name, value as RecordType);
}
