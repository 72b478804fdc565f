/** Which machines change slice so that weighted shares stay level while there is not room for all. */
import { dominantShare } from '../model/dominant-share.js';
import type { PackingBin, ScalingInput, PendingDemand } from './scaling-types.js';
import { allowsMachineType } from '../jobs/feasibility.js';
import type { NodeName, TeamName } from '../model/ids.js';
import type { ResourceVector } from '../model/resources.js';

/** Moves cost changes of the state service, and a plan is made every second or so. */
const MAX_REBALANCED_PER_PLAN = 2;

/**
 * Machines to move so that weighted shares stay level when there is not room for all. A slice that has much keeps it
 * busy for ever with its own waiting work: a team had three times its guarantee while another waited at little more than
 * its own. Counted is what the slices have, and not what their teams use: the shares follow only as tasks end.
 */
export function rebalanceShards(
  input: ScalingInput,
  bins: readonly PackingBin[],
  rest: readonly PendingDemand[],
): { bin: PackingBin; to: NodeName }[] {
  const { totals, shardByTeam } = input;
  const size = (a: ResourceVector) => dominantShare(a, totals.fleetCapacity);
  const has = new Map<NodeName, number>();
  let all = 0;
  let machines = 0;
  const sizeOf = new Map(input.types.map((t) => [t.name, size(t.capacity)]));
  for (const b of bins) {
    if (b.machine?.phase !== 'up') continue;
    const n = sizeOf.get(b.type) ?? 0;
    has.set(b.shard, (has.get(b.shard) ?? 0) + n);
    all += n;
    machines++;
  }
  const wants = new Map<TeamName, number>();
  for (const team of shardByTeam.keys())
    wants.set(team, totals.dominantShareOf(team) * totals.weightOf(team));
  for (const { spec, tasks } of rest)
    wants.set(spec.team, (wants.get(spec.team) ?? 0) + size(spec.demand) * tasks);
  // The level up to which everybody gets what it wants: those who want less than that leave the rest to the others.
  const teams = [...wants]
    .map(([team, want]) => ({ team, want, weight: totals.weightOf(team) }))
    .sort((a, b) => a.want / a.weight - b.want / b.weight);
  let left = all;
  let weights = teams.reduce((n, t) => n + t.weight, 0);
  const due = new Map<NodeName, number>();
  for (const { team, want, weight } of teams) {
    const gets = Math.min(want, (left * weight) / weights);
    left -= gets;
    weights -= weight;
    const node = shardByTeam.get(team)!;
    due.set(node, (due.get(node) ?? 0) + gets);
  }
  // With room left for all of it nothing has to be levelled.
  if (machines === 0 || left > 0) return [];
  const slack = (all / machines) * 1.5;
  const over = (node: NodeName) => (has.get(node) ?? 0) - (due.get(node) ?? 0);
  const out: { bin: PackingBin; to: NodeName }[] = [];
  for (const { spec, shard: to } of rest) {
    if (spec.kind !== 'array') continue;
    for (const b of bins) {
      if (out.length >= MAX_REBALANCED_PER_PLAN || over(to) > -slack) break;
      const m = b.machine;
      if (m?.phase !== 'up' || b.shard === to || over(b.shard) < slack || !input.isMovable(m)) continue;
      // Work that ends by itself, so that its places come free.
      if (!allowsMachineType(spec, b.type) || (b.spot && !spec.spot) || (spec.zone ?? b.zone) !== b.zone)
        continue;
      if (m.placed.some((p) => p.kind !== 'array') || out.some((x) => x.bin === b)) continue;
      const n = sizeOf.get(b.type) ?? 0;
      has.set(b.shard, (has.get(b.shard) ?? 0) - n);
      has.set(to, (has.get(to) ?? 0) + n);
      b.shard = to;
      out.push({ bin: b, to });
    }
  }
  return out;
}
