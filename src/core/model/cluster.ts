/** Teams, shards, sessions and leadership: who schedules what. */
import type { TeamName, NodeName, Incarnation, Zone, MachineName } from './ids.js';
import type { ResourceVector } from './resources.js';

/** A team with its guarantee and its limit. */
export interface Team {
  readonly name: TeamName;
  /** [cpu, memory (never guaranteed), gpu]; 0 means none. */
  readonly guarantee: ResourceVector;
  /** Null where the settings give 0: no limit of that kind. */
  readonly limitCpu: number | null;
  readonly limitGpu: number | null;
}

/** What the state service keeps of a team. */
export interface TeamRecord {
  /** The slice whose holder schedules the team. */
  readonly owner: NodeName;
}

/** Who holds a slice: its machines and its teams. Written only when that changes. */
export interface ShardRecord {
  readonly holder: NodeName;
  readonly incarnation: Incarnation;
}

/** A controller's session; it goes with its lease. */
export interface SessionRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly lease: number;
  readonly zone: Zone;
  /** It has handed over what it held and is about to end: it is given nothing. */
  readonly draining?: boolean;
}

/** The leadership; it goes with its lease. */
export interface LeaderRecord {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  readonly lease: number;
}

/** Machines that answer to a controller which is not their owner, since they do not reach that one. */
export interface ProxiedMachinesRecord {
  readonly machines: readonly MachineName[];
  readonly lease: number;
}
