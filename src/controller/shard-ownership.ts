/** Which controller holds which shard, according to this process's view. */
import type { ShardHolding } from '../core/agents/answer-basis.js';
import type { Incarnation, NodeName, TeamName } from '../core/model/ids.js';
import type { MachineRecord } from '../core/model/machines.js';
import type { ClusterView } from '../core/state/cluster-view.js';

/** A machine's or a team's record: `owner` names the shard that it belongs to. */
export interface ShardMember {
  readonly owner: NodeName;
}

/** Determines which controller may act for a machine or a team. */
export class ShardOwnership {
  constructor(
    private readonly view: ClusterView,
    private readonly incarnation: Incarnation,
  ) {}

  /** Whether this process holds the member's shard and may act for it. */
  owns(member: ShardMember): boolean {
    return this.view.isHeldBy(member.owner, this.incarnation);
  }

  /** How far this process holds the member's shard. */
  holdingOf(member: ShardMember): ShardHolding {
    if (this.view.shards.get(member.owner)?.incarnation !== this.incarnation) return 'none';
    return this.owns(member) ? 'complete' : 'acquiring';
  }

  /** Whether this process holds the shard that schedules the team. */
  ownsTeam(team: TeamName): boolean {
    const record = this.view.teams.get(team);
    return record !== undefined && this.owns(record);
  }

  /** Machines of the shards that this process holds. */
  ownedMachines(): MachineRecord[] {
    return [...this.view.machines.values()].filter((machine) => this.owns(machine));
  }

  /** The controller that holds the member's shard; null where there is none or its session has ended. */
  holderOf(member: ShardMember | undefined): NodeName | null {
    const shard = member === undefined ? undefined : this.view.shards.get(member.owner);
    if (shard === undefined) return null;
    return this.view.sessions.get(shard.holder)?.incarnation === shard.incarnation ? shard.holder : null;
  }

  /** The controller that answers the machine's heartbeats as a proxy for the holder; null where none does. */
  proxyOf(machine: MachineRecord): NodeName | null {
    const holder = this.view.shards.get(machine.owner)?.holder;
    for (const { node, machines } of this.view.proxiedMachines.values())
      if (node !== holder && machines.has(machine.name)) return node;
    return null;
  }
}
