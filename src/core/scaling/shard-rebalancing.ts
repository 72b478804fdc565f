/**
 * Rebalances shards while there are not enough machines for all tasks. Otherwise a shard that has more capacity than
 * its teams' weights entitle it to would keep its machines busy for as long as it has pending tasks of its own.
 * Shards are compared by the capacity that they have, since what their teams use changes only as tasks end.
 */
import { addToCount } from '../collections.js';
import { allowsMachine } from '../jobs/feasibility.js';
import { dominantShare } from '../model/dominant-share.js';
import type { NodeName, TeamName, TypeName } from '../model/ids.js';
import type { ResourceVector } from '../model/resources.js';
import { type Steps } from '../steps.js';
import { isUp, type MachineBin } from './packing-bins.js';
import type { BinMove, PackingBin, PendingDemand, ScalingInput } from './scaling-types.js';

/**
 * Limits the changes that one plan makes in the state service. The leader makes a plan about every 0.6 s, more often
 * while jobs or sessions change, and less often while its passes take long.
 */
const MAX_REBALANCED_PER_PLAN = 2;
/** A surplus or deficit of up to this many machines of average size is not rebalanced. */
const TOLERANCE_MACHINES = 1.5;

/** Moves up to `MAX_REBALANCED_PER_PLAN` machines to the shards of unplaced array jobs; changes the bins' `shard`. */
export function* rebalanceShards(
  input: ScalingInput,
  bins: readonly PackingBin[],
  unplaced: readonly PendingDemand[],
): Steps<BinMove[]> {
  const machines = bins.filter(isUp);
  if (machines.length === 0) return [];
  const shares = new CapacityShares(input, machines);
  const entitlements = entitledShares(input, shares.total, wantedShares(input, unplaced));
  // If capacity is left over, all teams can get what they ask for and nothing has to be rebalanced.
  if (entitlements.left > 0) return [];
  const rebalancing = new Rebalancing(input, machines, shares, entitlements.byShard);
  for (const demand of unplaced) {
    if (demand.spec.kind === 'array') rebalancing.moveMachinesTo(demand);
    yield;
  }
  return rebalancing.moves;
}

/** The capacity of each shard's machines, as a dominant share of the fleet. */
class CapacityShares {
  readonly total: number;
  private readonly byShard = new Map<NodeName, number>();
  private readonly byType: ReadonlyMap<TypeName, number>;

  constructor(input: ScalingInput, machines: readonly MachineBin[]) {
    this.byType = new Map(input.types.map((type) => [type.name, shareOfFleet(type.capacity, input)]));
    let total = 0;
    for (const bin of machines) {
      const share = this.shareOf(bin);
      addToCount(this.byShard, bin.shard, share);
      total += share;
    }
    this.total = total;
  }

  /** The capacity of the shard's machines, as a share of the fleet. */
  ofShard(shard: NodeName): number {
    return this.byShard.get(shard) ?? 0;
  }

  /** Moves the machine and its share to another shard. */
  move(bin: MachineBin, to: NodeName): void {
    const share = this.shareOf(bin);
    addToCount(this.byShard, bin.shard, -share);
    addToCount(this.byShard, to, share);
    bin.shard = to;
  }

  private shareOf(bin: MachineBin): number {
    return this.byType.get(bin.type) ?? 0;
  }
}

/** Moves machines from shards that have more than they are entitled to. */
class Rebalancing {
  readonly moves: BinMove[] = [];
  private readonly tolerance: number;

  constructor(
    private readonly input: ScalingInput,
    private readonly machines: readonly MachineBin[],
    private readonly shares: CapacityShares,
    private readonly entitledByShard: ReadonlyMap<NodeName, number>,
  ) {
    this.tolerance = (shares.total / machines.length) * TOLERANCE_MACHINES;
  }

  /** Moves machines to the demand's shard until it has what it is entitled to, within the tolerance. */
  moveMachinesTo(demand: PendingDemand): void {
    const to = demand.shard;
    for (const bin of this.machines) {
      if (this.moves.length >= MAX_REBALANCED_PER_PLAN || this.surplusOf(to) > -this.tolerance) return;
      if (!this.canMove(bin, demand)) continue;
      this.shares.move(bin, to);
      this.moves.push({ bin, to });
    }
  }

  /**
   * Whether the machine may be moved, its shard has a surplus, and the demand's tasks can use the machine once the
   * tasks on it have ended.
   */
  private canMove(bin: MachineBin, { spec, shard }: PendingDemand): boolean {
    if (bin.shard === shard || this.surplusOf(bin.shard) < this.tolerance) return false;
    if (!this.input.isMovable(bin.machine) || !allowsMachine(spec, bin)) return false;
    // Only the tasks of arrays end on their own, one by one.
    if (bin.machine.placed.some((allocation) => allocation.kind !== 'array')) return false;
    return !this.moves.some((move) => move.bin === bin);
  }

  private surplusOf(shard: NodeName): number {
    return this.shares.ofShard(shard) - (this.entitledByShard.get(shard) ?? 0);
  }
}

function shareOfFleet(resources: ResourceVector, { totals }: ScalingInput): number {
  return dominantShare(resources, totals.fleetCapacity);
}

/** The dominant share that each team asks for: what it uses plus what its unplaced tasks would use. */
function wantedShares(input: ScalingInput, unplaced: readonly PendingDemand[]): Map<TeamName, number> {
  const { totals, shardByTeam } = input;
  const wanted = new Map<TeamName, number>();
  for (const team of shardByTeam.keys())
    wanted.set(team, totals.dominantShareOf(team) * totals.weightOf(team));
  for (const { spec, tasks } of unplaced)
    addToCount(wanted, spec.team, shareOfFleet(spec.demand, input) * tasks);
  return wanted;
}

/**
 * Divides the total by weighted max-min fairness: teams that ask for less than their part leave the rest to the
 * others. Returns the sum of what the teams of each shard are entitled to, and what is left once all teams have got
 * what they ask for.
 */
function entitledShares(
  { totals, shardByTeam }: ScalingInput,
  total: number,
  wantedByTeam: ReadonlyMap<TeamName, number>,
): { byShard: ReadonlyMap<NodeName, number>; left: number } {
  const teams = [...wantedByTeam]
    .map(([team, wanted]) => ({ team, wanted, weight: totals.weightOf(team) }))
    .sort((a, b) => a.wanted / a.weight - b.wanted / b.weight);
  let left = total;
  let weightLeft = teams.reduce((sum, { weight }) => sum + weight, 0);
  const byShard = new Map<NodeName, number>();
  for (const { team, wanted, weight } of teams) {
    const entitled = Math.min(wanted, (left * weight) / weightLeft);
    left -= entitled;
    weightLeft -= weight;
    addToCount(byShard, shardByTeam.get(team)!, entitled);
  }
  return { byShard, left };
}
