/** Teams, shards, sessions and leadership: which controller schedules what. */
import type { Incarnation, MachineName, NodeName, TeamName, Zone } from './ids.js';
import type { ResourceVector } from './resources.js';

/** A team with its guarantee and its quota. */
export interface Team {
  readonly name: TeamName;
  /** Resources that the team may obtain by preempting others; 0 for one without a guarantee, as memory always is. */
  readonly guarantee: ResourceVector;
  /** Quota of CPUs in micro-units; null for no quota, which the settings write as 0. */
  readonly cpuQuota: number | null;
  /** Quota of GPUs in micro-units; null for no quota, which the settings write as 0. */
  readonly gpuQuota: number | null;
}

/** The stored record of a team. */
export interface TeamRecord {
  /** The shard whose holder schedules the team. */
  readonly owner: NodeName;
}

/** The stored record of a shard: the controller that holds it with its machines and teams. Written only on a change. */
export interface ShardRecord {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
}

/** The stored record of a controller's session; the state service deletes it when its lease ends. */
export interface SessionRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** Id of the lease in the state service. */
  readonly lease: number;
  readonly zone: Zone;
  /**
   * Whether the controller hands over its shards and is about to shut down; it is assigned shards only if no other
   * controller can take them.
   */
  readonly draining?: boolean;
}

/** The stored record of the leadership; the state service deletes it when its lease ends. */
export interface LeaderRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** Id of the lease in the state service. */
  readonly lease: number;
}

/** A stored record of machines whose agents a controller answers as a proxy, since they cannot reach their owner. */
export interface ProxiedMachinesRecord {
  readonly machines: readonly MachineName[];
  /** Id of the lease in the state service. */
  readonly lease: number;
}
