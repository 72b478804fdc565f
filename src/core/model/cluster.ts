/** Teams, shards, sessions and leadership: which controller schedules what. */
import type { Incarnation, MachineName, NodeName, TeamName, Zone } from './ids.js';
import type { ResourceVector } from './resources.js';

/** A team with its guarantee and its quota. */
export interface Team {
  readonly name: TeamName;
  /** What the team may get by preempting others; 0 for a resource without guarantee, as memory always is. */
  readonly guarantee: ResourceVector;
  /** Quota of CPUs in micro-units; null for none, where the settings give 0. */
  readonly limitCpu: number | null;
  /** Quota of GPUs in micro-units; null for none, where the settings give 0. */
  readonly limitGpu: number | null;
}

/** What the state service keeps of a team. */
export interface TeamRecord {
  /** The shard whose holder schedules the team. */
  readonly owner: NodeName;
}

/** Which controller holds a shard, its machines and its teams. Written only when that changes. */
export interface ShardRecord {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
}

/** A controller's session; the state service deletes it with its lease. */
export interface SessionRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** Id of the lease in the state service. */
  readonly lease: number;
  readonly zone: Zone;
  /** The controller has handed over its shards and is shutting down: it is assigned nothing. */
  readonly draining?: boolean;
}

/** The leadership; the state service deletes it with its lease. */
export interface LeaderRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** Id of the lease in the state service. */
  readonly lease: number;
}

/** Machines for which a controller answers as a proxy, since they cannot reach their owner. */
export interface ProxiedMachinesRecord {
  readonly machines: readonly MachineName[];
  /** Id of the lease in the state service. */
  readonly lease: number;
}
