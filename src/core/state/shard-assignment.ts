/**
 * Who holds which slice, and which slice a team belongs to. There is a slice for each controller; on the ordinary
 * path each controller holds its own. When one is gone, its slice is held by another until it is back, with a
 * single write: teams and machines stay in their slices.
 */
import type { ShardRecord, Team } from '../model/cluster.js';
import type { Incarnation, NodeName, TeamName } from '../model/ids.js';

/** A controller with a session. */
export interface LiveController {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** How long the leader has seen this session, so that slices do not follow a controller that flaps. */
  readonly sessionAgeS: number;
  /** It reaches its workers, as far as the leader knows. */
  readonly canReachAgents: boolean;
}

const assignmentWeight = (t: Team) => Math.max(1, t.guarantee[0], t.guarantee[2]);

/** Slices for the teams that have none yet, so that the guarantees are spread evenly. */
export function assignTeamsToShards(
  shards: readonly NodeName[],
  teams: readonly Team[],
  owned: ReadonlyMap<TeamName, { owner: NodeName }>,
): Map<TeamName, NodeName> {
  const out = new Map<TeamName, NodeName>();
  const load = new Map<NodeName, number>(shards.map((s) => [s, 0]));
  const missing: Team[] = [];
  for (const t of teams) {
    const owner = owned.get(t.name)?.owner;
    if (owner !== undefined && load.has(owner)) load.set(owner, load.get(owner)! + assignmentWeight(t));
    else missing.push(t);
  }
  missing.sort((a, b) => assignmentWeight(b) - assignmentWeight(a) || (a.name < b.name ? -1 : 1));
  for (const t of missing) {
    const least = [...load].sort((a, b) => a[1] - b[1] || (a[0] < b[0] ? -1 : 1))[0]![0];
    out.set(t.name, least);
    load.set(least, load.get(least)! + assignmentWeight(t));
  }
  return out;
}

/** The slices that must get another holder, with that holder. */
export function assignShardHolders(
  shards: readonly NodeName[],
  live: readonly LiveController[],
  held: ReadonlyMap<string, ShardRecord>,
  settledS: number,
): Map<NodeName, LiveController> {
  const out = new Map<NodeName, LiveController>();
  const fit = live.filter((n) => n.canReachAgents);
  const able = fit.length > 0 ? fit : live;
  if (able.length === 0) return out;
  const count = new Map<LiveController, number>(able.map((n) => [n, 0]));
  const holderOf = (s: NodeName) => {
    const r = held.get(s);
    return r === undefined
      ? undefined
      : live.find((n) => n.node === r.holder && n.incarnation === r.incarnation);
  };
  for (const s of shards) {
    const h = holderOf(s);
    if (h !== undefined && count.has(h)) count.set(h, count.get(h)! + 1);
  }
  for (const s of shards) {
    const holder = holderOf(s);
    const home = able.find((n) => n.node === s);
    if (holder !== undefined && count.has(holder)) {
      // Back to where it belongs, once that controller has been there for a while.
      if (home !== undefined && home !== holder && home.sessionAgeS >= settledS) out.set(s, home);
      continue;
    }
    const to = home ?? [...count].sort((a, b) => a[1] - b[1] || (a[0].node < b[0].node ? -1 : 1))[0]![0];
    count.set(to, count.get(to)! + 1);
    out.set(s, to);
  }
  return out;
}
