/**
 * Assigns teams to shards, and shards to the controllers that hold them. There is one shard for each controller, and
 * usually each controller holds its own. On failover another controller holds the shard until its own is back; only the
 * shard's record changes, and teams and machines stay in their shards.
 */
import type { ShardRecord, Team, TeamRecord } from '../model/cluster.js';
import type { Incarnation, NodeName, TeamName } from '../model/ids.js';
import { CPU, GPU } from '../model/resources.js';

/** A controller that has a session. */
export interface LiveController {
  readonly node: NodeName;
  readonly incarnation: Incarnation;
  /** How long the leader has seen this session. */
  readonly sessionAgeS: number;
  /** The controller reaches its agents, as far as the leader knows, and may be given shards. */
  readonly canReachAgents: boolean;
}

/** What the assignment of teams is made from. */
export interface TeamAssignmentInput {
  readonly shards: readonly NodeName[];
  readonly teams: readonly Team[];
  /** The present assignments; those to shards that no longer exist are made anew. */
  readonly assigned: ReadonlyMap<TeamName, TeamRecord>;
}

/** What the assignment of shards is made from. */
export interface ShardAssignmentInput {
  readonly shards: readonly NodeName[];
  readonly live: readonly LiveController[];
  /** The present holders by shard. */
  readonly held: ReadonlyMap<string, ShardRecord>;
  /** A shard goes back to its own controller only once that has had its session for so long, so that it does not flap. */
  readonly settledS: number;
}

/** Shards for the teams that have none yet, so that the guarantees are spread evenly. */
export function assignTeamsToShards({
  shards,
  teams,
  assigned,
}: TeamAssignmentInput): Map<TeamName, NodeName> {
  const load = new Map<NodeName, number>(shards.map((shard) => [shard, 0]));
  const unassigned: Team[] = [];
  for (const team of teams) {
    const shard = assigned.get(team.name)?.owner;
    if (shard !== undefined && load.has(shard)) load.set(shard, load.get(shard)! + loadOf(team));
    else unassigned.push(team);
  }
  unassigned.sort((a, b) => loadOf(b) - loadOf(a) || (a.name < b.name ? -1 : 1));
  const assignments = new Map<TeamName, NodeName>();
  for (const team of unassigned) {
    const shard = leastLoaded(load, (name) => name);
    assignments.set(team.name, shard);
    load.set(shard, load.get(shard)! + loadOf(team));
  }
  return assignments;
}

/** The shards that must change their holder, with the new holder; empty while no controller is live. */
export function assignShardHolders(input: ShardAssignmentInput): Map<NodeName, LiveController> {
  const { shards, live, settledS } = input;
  const assignments = new Map<NodeName, LiveController>();
  const candidates = holderCandidates(live);
  if (candidates.length === 0) return assignments;
  const shardCount = shardsByCandidate(candidates, input);
  for (const shard of shards) {
    const holder = liveHolder(shard, input);
    const home = candidates.find(({ node }) => node === shard);
    if (holder !== undefined && shardCount.has(holder)) {
      const shouldReturn = home !== undefined && home !== holder && home.sessionAgeS >= settledS;
      if (shouldReturn) assignments.set(shard, home);
      continue;
    }
    const newHolder = home ?? leastLoaded(shardCount, ({ node }) => node);
    shardCount.set(newHolder, shardCount.get(newHolder)! + 1);
    assignments.set(shard, newHolder);
  }
  return assignments;
}

/** What a team adds to its shard's load: its guarantee, but at least 1. */
function loadOf({ guarantee }: Team): number {
  return Math.max(1, guarantee[CPU], guarantee[GPU]);
}

/** Controllers that reach their agents; where none does, all of them. */
function holderCandidates(live: readonly LiveController[]): readonly LiveController[] {
  const reaching = live.filter((controller) => controller.canReachAgents);
  return reaching.length > 0 ? reaching : live;
}

/** How many shards each candidate holds. */
function shardsByCandidate(
  candidates: readonly LiveController[],
  input: ShardAssignmentInput,
): Map<LiveController, number> {
  const shardCount = new Map<LiveController, number>(candidates.map((controller) => [controller, 0]));
  for (const shard of input.shards) {
    const holder = liveHolder(shard, input);
    const count = holder === undefined ? undefined : shardCount.get(holder);
    if (count !== undefined) shardCount.set(holder!, count + 1);
  }
  return shardCount;
}

/** The controller that holds the shard; undefined where it has ended or was started anew. */
function liveHolder(
  shard: NodeName,
  { live, held }: Pick<ShardAssignmentInput, 'live' | 'held'>,
): LiveController | undefined {
  const record = held.get(shard);
  if (record === undefined) return undefined;
  return live.find(({ node, incarnation }) => node === record.holder && incarnation === record.incarnation);
}

/** The key with the smallest load; of several, the first by name. */
function leastLoaded<Key>(load: ReadonlyMap<Key, number>, nameOf: (item: Key) => NodeName): Key {
  const byLoad = [...load].sort(
    ([a, loadA], [b, loadB]) => loadA - loadB || (nameOf(a) < nameOf(b) ? -1 : 1),
  );
  return byLoad[0]![0];
}
