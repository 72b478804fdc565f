/**
 * A process's view of the shared state, built from a listing and the watch that follows it. All records that
 * controllers schedule by have keys with one prefix, whose changes the watch delivers in one order: a view at
 * revision R holds exactly what was committed up to R, plus newer writes of the process itself.
 */
import { isDeepStrictEqual } from 'node:util';
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
  /** The new value; undefined for a removal. */
  readonly value: unknown;
  readonly version: Version;
}

/**
 * A controller and machines whose heartbeats it answers as a proxy, since they do not reach the holder of
 * their shard.
 */
export interface ProxiedMachines {
  readonly node: NodeName;
  readonly machines: ReadonlySet<MachineName>;
}

/** The shared state as this process knows it, with indexes by kind of record. */
export class ClusterView {
  /** The revision up to which the watch has delivered every change. */
  revision: Revision = revision(0);
  /** Value and version of every known key. */
  readonly entries = new Map<string, VersionedValue>();
  readonly jobs = new Map<JobId, JobRecord>();
  readonly machines = new Map<MachineName, MachineRecord>();
  readonly teams = new Map<TeamName, TeamRecord>();
  /** Sessions by name of their controller. */
  readonly sessions = new Map<string, SessionRecord>();
  /** Shards by name. */
  readonly shards = new Map<string, ShardRecord>();
  /** Rentals by name. */
  readonly rentals = new Map<string, RentalRecord>();
  /** Jobs whose cancellation is requested and not complete. */
  readonly cancellations = new Set<JobId>();
  /** Proxied machines by key of their record; those of one controller may take several records. */
  readonly proxiedMachines = new Map<string, ProxiedMachines>();
  /** The present leader; null while there is none. */
  leader: LeaderRecord | null = null;
  /** Machine types; null until a leader has written the list. */
  types: readonly MachineType[] | null = null;
  /** Machine types by name; replaced by a new map whenever the list changes. */
  typesByName: ReadonlyMap<TypeName, MachineType> = new Map();
  /**
   * Machines whose records have changed since they were last applied to the allocation totals;
   * `AllocationTracker` clears it.
   */
  readonly dirtyMachines = new Set<MachineName>();
  /** Number of job records added, changed and removed so far; readers compare it to detect changes. */
  jobChangeCount = 0;
  /** Parts of the list of machine types by key; a list too large for one value continues in further ones. */
  private readonly typeParts = new Map<string, readonly MachineType[]>();
  private readonly shardVersions = new Map<string, Version>();
  /**
   * Versions of removals newer than `revision`, by key: older events of the watch must not restore the keys.
   */
  private readonly removedVersions = new Map<string, Version>();

  /** The version of a key; `NO_VERSION` if the key does not exist. */
  versionOf(key: string): Version {
    return this.entries.get(key)?.version ?? NO_VERSION;
  }

  /**
   * The fencing token of a machine: the larger of the revision at which its shard got its present holder and
   * the floor in the machine's record, which is raised above its token whenever the machine moves to another
   * shard. Revisions only grow, so that the token grows each time another controller may command the machine,
   * and a change of a shard's holder takes a single write for all its machines.
   */
  fencingTokenOf(machine: MachineRecord): FencingToken {
    return fencingToken(Math.max(this.shardVersions.get(machine.owner) ?? NO_VERSION, machine.floor));
  }

  /**
   * Whether the process holds the shard and this view contains all commits of its former holders. The
   * response to the write that acquires a shard may arrive before the watch has delivered the last starts of
   * the former holder: if the process acted at once, it would start those tasks again.
   */
  isHeldBy(shard: string, incarnation: Incarnation): boolean {
    if (this.shards.get(shard)?.incarnation !== incarnation) return false;
    return (this.shardVersions.get(shard) ?? NO_VERSION) <= this.revision;
  }

  /**
   * Applies changes in their order and returns the keys that have changed in the view. All changes of a transaction
   * have the same revision; where several concern one key, the last of them holds.
   */
  applyAll(changes: Iterable<KeyChange>): Set<string> {
    const changed = new Set<string>();
    for (const change of lastOfEachRevision(changes)) if (this.apply(change)) changed.add(change.key);
    return changed;
  }

  /**
   * Applies the last change of its key in a revision, unless the same or a newer one is known; returns whether the view
   * changed.
   */
  apply({ key, value, version }: KeyChange): boolean {
    // The watch has delivered all changes up to the revision, but the response to a write of this process may
    // arrive later. If the key has been removed since, applying the write would restore it permanently.
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

  /** Records that the watch has delivered every change up to the revision. */
  advanceTo(delivered: Revision): void {
    if (delivered <= this.revision) return;
    this.revision = delivered;
    for (const [key, version] of this.removedVersions)
      if (version <= delivered) this.removedVersions.delete(key);
  }

  /**
   * Makes the content equal to a listing begun at revision `from`, except for later changes of this process: adds and
   * replaces records as listed, and removes those not listed. Returns the keys that have changed.
   */
  resetTo(rows: readonly KeyChange[], from: Revision): Set<string> {
    const changed = new Set<string>();
    const listed = new Set(rows.map((row) => row.key));
    for (const [key, entry] of [...this.entries]) {
      if (listed.has(key) || entry.version > from) continue;
      this.entries.delete(key);
      this.updateIndexes(key, undefined, NO_VERSION);
      changed.add(key);
    }
    for (const row of rows) if (this.applyListed(row)) changed.add(row.key);
    return changed;
  }

  /** Applies a listed record unless it is known, or a later change of this process to its key is. */
  private applyListed({ key, value, version }: KeyChange): boolean {
    if ((this.removedVersions.get(key) ?? NO_VERSION) >= version) return false;
    const known = this.entries.get(key);
    if (known !== undefined && known.version > version) return false;
    if (known?.version === version && isDeepStrictEqual(known.value, value)) return false;
    this.entries.set(key, { value, version });
    this.updateIndexes(key, value, version);
    return true;
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

/** Leaves out changes that another change of the same key in the same revision follows. */
function lastOfEachRevision(changes: Iterable<KeyChange>): Iterable<KeyChange> {
  const last = new Map<string, KeyChange>();
  for (const change of changes) last.set(`${change.version} ${change.key}`, change);
  return last.values();
}

/** Sets the record with the name in an index; an undefined value deletes it. */
function setOrDelete<Name, RecordType>(index: Map<Name, RecordType>, name: Name, value: unknown): void {
  if (value === undefined) index.delete(name);
  else index.set(name, value as RecordType);
}
